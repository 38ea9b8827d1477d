#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "codec/record_json.h"
#include "config/settings.h"
#include "eelgrasspin/records.h"

namespace eelgrasspin::config {
namespace {

std::string example(const std::string& path) {
  const char* root = std::getenv("EELGRASSPIN_SOURCE");
  std::ifstream in(std::string(root == nullptr ? "." : root) + "/examples/" +
                   path);
  std::ostringstream text;
  text << in.rdbuf();
  EXPECT_FALSE(text.str().empty()) << path;
  return text.str();
}

template <class T>
std::string findings_text(const Checked<T>& checked) {
  std::string text;
  if (auto* findings = std::get_if<std::vector<Finding>>(&checked)) {
    for (const Finding& finding : *findings) text += to_string(finding) + "\n";
  }
  return text;
}

std::string declaration_findings(const std::string& text) {
  return findings_text(read_declarations(text, "d.ini"));
}

Declarations parsed(const std::string& text) {
  auto checked = read_declarations(text, "d.ini");
  EXPECT_EQ(findings_text(checked), "");
  return std::get<Declarations>(checked);
}

/// The shortest valid text.
std::string minimal_declarations() {
  return "[deployment]\n"
         "name = magarini\n"
         "schema = 1\n"
         "[region kilifi]\n"
         "[zone gongoni]\n"
         "region = kilifi\n"
         "[service panboard]\n"
         "[operation panboard reading]\n"
         "method = PUT\n"
         "path = /pans/{key}/readings\n"
         "class = idempotent\n"
         "[server panboard-01]\n"
         "service = panboard\n"
         "zone = gongoni\n"
         "address = 127.0.0.1:9001\n";
}

std::string replaced(std::string text, const std::string& from,
                     const std::string& to) {
  std::size_t position = text.find(from);
  EXPECT_NE(position, std::string::npos) << from;
  return text.replace(position, from.size(), to);
}

TEST(Declarations, ExamplesAreAcceptedAndPrintedCanonically) {
  for (const char* name : {"magarini/declarations.ini", "magarini/demo.ini",
                           "ocsa/declarations.ini", "ocsa/demo.ini"}) {
    Declarations read = parsed(example(name));
    std::string printed = print_declarations(read);
    EXPECT_EQ(print_declarations(parsed(printed)), printed) << name;
  }
  EXPECT_EQ(parsed(example("magarini/declarations.ini")).servers.size(), 41u);
  EXPECT_EQ(parsed(example("ocsa/declarations.ini")).servers.size(), 36u);
}

TEST(Declarations, ReadsEveryValue) {
  Declarations read =
      parsed(replaced(minimal_declarations(), "[service panboard]\n",
                      "[service panboard]\n"
                      "key_slots = 4096 ; comment\n"
                      "deadline = 7s\n"
                      "execution_limit = 250ms\n"
                      "queue_limit = 9\n"
                      "on_isolation = yield\n"
                      "yield_after = 3m\n"
                      "when_store_down = front_ledger\n"
                      "weight_imbalance = 1.5\n"
                      "weight_churn = 2\n"
                      "weight_unavailable = 0\n"
                      "moves_per_minute = 11\n") +
             "slots = 4\nconnections = 110\nconnection_interval = 2ms\n"
             "checks_grants = no\n");
  const ServiceDeclaration& service = read.services.at(ServiceName("panboard"));
  EXPECT_EQ(service.key_slots, 4096u);
  EXPECT_EQ(service.deadline, seconds(7));
  EXPECT_EQ(service.execution_limit, milliseconds(250));
  EXPECT_EQ(service.queue_limit, 9u);
  EXPECT_EQ(service.on_isolation, IsolationPolicy::kYield);
  EXPECT_EQ(service.yield_after, minutes(3));
  EXPECT_EQ(service.when_store_down, StoreDownPolicy::kFrontLedger);
  EXPECT_EQ(service.weights.imbalance, 1.5);
  EXPECT_EQ(service.weights.churn, 2);
  EXPECT_EQ(service.weights.unavailable, 0);
  EXPECT_EQ(service.weights.moves_per_minute, 11u);
  ASSERT_EQ(service.operations.size(), 1u);
  EXPECT_EQ(service.operations[0].name, "reading");
  EXPECT_EQ(service.operations[0].execution_class, ExecutionClass::kIdempotent);
  const ServerDeclaration& server = read.servers.at(ServerName("panboard-01"));
  EXPECT_EQ(server.concurrency, 4u);
  EXPECT_EQ(server.connections, 110u);
  EXPECT_EQ(server.connection_interval, milliseconds(2));
  EXPECT_FALSE(server.checks_grants);
}

TEST(Declarations, ReportsEveryFindingWithItsLine) {
  EXPECT_EQ(
      declaration_findings("[deployment]\n"
                           "name = magarini\n"
                           "schema = 2\n"
                           "[region kilifi]\n"
                           "[zone gongoni]\n"
                           "region = kilifo\n"
                           "[service panboard]\n"
                           "key_slots = 1000\n"
                           "deadlin = 5s\n"
                           "deadline = 5\n"
                           "this is no value\n"
                           "[operation panboard reading]\n"
                           "method = PUT\n"
                           "path = /pans/{id}/readings\n"
                           "class = twice\n"
                           "[server panboard-01]\n"
                           "service = pamboard\n"
                           "zone = gongoni\n"
                           "address = localhost:9001\n"
                           "slots = 2\n"
                           "slots = 3\n"
                           "[sever panboard-02]\n"),
      "d.ini:3: schema = 2: not a number in range (from 1 to 1)\n"
      "d.ini:5: zone gongoni: no region kilifo (did you mean kilifi?)\n"
      "d.ini:7: service panboard: key_slots is not a power of two (such as "
      "1024)\n"
      "d.ini:7: service panboard has no server ([server NAME])\n"
      "d.ini:9: unknown name deadlin in [service panboard] (did you mean "
      "deadline?)\n"
      "d.ini:10: deadline = 5: not a duration (expected a duration such as "
      "250ms, 90s, 2m or 1h)\n"
      "d.ini:11: not a value (name = value)\n"
      "d.ini:12: operation panboard reading: path /pans/{id}/readings (starts "
      "with '/' and has exactly one segment {key})\n"
      "d.ini:15: class = twice: not one of the choices (read, idempotent, "
      "at_most_once)\n"
      "d.ini:16: server panboard-01: no service pamboard (did you mean "
      "panboard?)\n"
      "d.ini:19: address = localhost:9001: not an address (IP number and "
      "port)\n"
      "d.ini:21: slots is given twice in [server panboard-01] (keep one)\n"
      "d.ini:22: unknown section [sever panboard-02] (did you mean server?)\n");
}

TEST(Declarations, ChecksAcrossSections) {
  std::string minimal = minimal_declarations();
  EXPECT_EQ(declaration_findings(minimal), "");
  EXPECT_NE(declaration_findings(minimal + "[server panboard-02]\n"
                                           "service = panboard\n"
                                           "zone = gongoni\n"
                                           "address = 127.0.0.1:9001\n")
                .find("address 127.0.0.1:9001 is that of panboard-01"),
            std::string::npos);
  EXPECT_NE(declaration_findings(minimal + "[operation panboard again]\n"
                                           "method = PUT\n"
                                           "path = /pans/{key}/readings\n"
                                           "class = read\n")
                .find("same method and path as reading"),
            std::string::npos);
  EXPECT_NE(declaration_findings(minimal + "[region kilifi]\n")
                .find("is given twice (first in line 4)"),
            std::string::npos);
  EXPECT_NE(declaration_findings(replaced(minimal, "{key}", "{key}/{key}")),
            "");
  EXPECT_NE(declaration_findings(""), "");
}

TEST(Declarations, ReportsLinesThatAreNotIni) {
  std::string long_line = "name = " + std::string(400, 'x') + "\n";
  EXPECT_EQ(declaration_findings(minimal_declarations() + long_line +
                                 "[open\n" + "= 3\n"),
            "d.ini:16: line of 407 bytes (at most 197)\n"
            "d.ini:17: heading without ']' ([section])\n"
            "d.ini:18: unknown name  in [server panboard-01] (known: service, "
            "zone, address, slots, connections, connection_interval, "
            "checks_grants)\n");
  std::string zero = minimal_declarations() + std::string("a = \0b\n", 7);
  EXPECT_EQ(declaration_findings(zero), "d.ini:16: a zero byte (plain text)\n");
  EXPECT_EQ(declaration_findings("a = b\n" + minimal_declarations()),
            "d.ini:1: value before any section ([section] first)\n");
}

TEST(Declarations, KeepsWhatCannotChange) {
  Declarations before = parsed(minimal_declarations());
  EXPECT_TRUE(check_change(before, before, "d.ini").empty());
  Declarations after = before;
  after.services.begin()->second.key_slots = 2048;
  after.servers.begin()->second.zone = ZoneName("marereni");
  after.deployment = "ocsa";
  EXPECT_EQ(check_change(before, after, "d.ini").size(), 3u);
}

TEST(Declarations, AreReadBackFromTheStore) {
  DeclarationsRecord record;
  record.declarations = parsed(example("magarini/demo.ini"));
  record.applied_by = OperatorName("mwana");
  record.write_id = 5;
  Record read =
      codec::decode_record(declarations_key(), codec::encode_record(record));
  ASSERT_EQ(read, Record(record));
  EXPECT_EQ(std::get<DeclarationsRecord>(read).declarations.servers.size(),
            record.declarations.servers.size());
  record.declarations.source = "[deployment\n";
  read = codec::decode_record(declarations_key(), codec::encode_record(record));
  ASSERT_TRUE(std::holds_alternative<DamagedRecord>(read));
  EXPECT_EQ(std::get<DamagedRecord>(read).reason,
            "source: declarations: no [deployment] section (name and schema)");
}

TEST(Settings, ReadsExamples) {
  for (const char* name : {"magarini/daemon.ini", "ocsa/daemon.ini"}) {
    auto checked = read_settings(example(name), name);
    ASSERT_EQ(findings_text(checked), "");
    const auto& settings = std::get<Settings>(checked);
    EXPECT_EQ(settings.seeds.size(), 2u);
    EXPECT_EQ(settings.tokens.size(), 2u);
  }
}

TEST(Settings, ReportsEveryFindingWithItsLine) {
  EXPECT_EQ(findings_text(read_settings("[daemon]\n"
                                        "name = gongoni 1\n"
                                        "zone = gongoni\n"
                                        "region = kilifi\n"
                                        "callers = 127.0.0.1:7001\n"
                                        "peers = 127.0.0.1:7001\n"
                                        "operators = 127.0.0.1:0\n"
                                        "seeds = 127.0.0.1:7002 gongoni-2\n"
                                        "[platform]\n"
                                        "stores = 127.0.0.1:7000\n"
                                        "[operators]\n"
                                        "mwana = x\n"
                                        "[log]\n"
                                        "level = loud\n",
                                        "s.ini")),
            "s.ini:2: name = gongoni 1: not a name (letters, digits, '.', '_' "
            "and '-')\n"
            "s.ini:6: peers = 127.0.0.1:7001 is taken (a port of its own)\n"
            "s.ini:7: operators = 127.0.0.1:0: not an address (IP number and "
            "port)\n"
            "s.ini:8: seeds = 127.0.0.1:7002 gongoni-2: gongoni-2 is not an "
            "address (IP number and port)\n"
            "s.ini:9: [platform] lacks store (store = ...)\n"
            "s.ini:9: [platform] lacks vms (vms = ...)\n"
            "s.ini:10: unknown name stores in [platform] (did you mean "
            "store?)\n"
            "s.ini:12: token of mwana is too short (at least 8 bytes)\n"
            "s.ini:14: level = loud: not one of the choices (debug, info, "
            "warning, error)\n");
}

}  // namespace
}  // namespace eelgrasspin::config
