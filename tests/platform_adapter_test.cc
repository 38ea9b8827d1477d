#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "codec/fleet_json.h"
#include "fleet/requests.h"
#include "names.h"
#include "objects.h"
#include "request_format.h"
#include "settings_file.h"
#include "tests/store_positions.h"

/// Tests of the adapter to the users' platform: which input it accepts and
/// which it rejects.
namespace eelgrasspin::platform {
namespace {

constexpr char kSettings[] =
    "self.node=front-a-1\n"
    "self.ip=10.1.0.34\n"
    "self.zone=a\n"
    "self.region=north\n"
    "network.listen.front=10.1.0.34:8548\n"
    "network.listen.ready=10.1.0.34:8542\n"
    "network.portRange=7540,7555\n"
    "network.seeds=10.1.0.34:8544,10.2.0.34:8544\n"
    "network.zones.a=north\n"
    "platform.platform.addr=10.200.1.7:8541\n"
    "terms.bounds.graceS=6.5\n"
    "terms.bounds.budgetSlack=64\n"
    "some.new.field=1\n";

Checked<DaemonSettings> read(const std::string& text) {
  return read_settings_file(text, "local.conf", Incarnation(7));
}

TEST(PlatformSettings, ReadsDaemonSettings) {
  auto checked = read(kSettings);
  ASSERT_TRUE(std::holds_alternative<DaemonSettings>(checked));
  const auto& settings = std::get<DaemonSettings>(checked);
  EXPECT_EQ(settings.fleet.self.name, DaemonName("front-a-1"));
  EXPECT_EQ(settings.fleet.self.peer, Endpoint("10.1.0.34:7540"));
  EXPECT_EQ(settings.fleet.seeds[1], Endpoint("10.2.0.34:7540"));
  EXPECT_EQ(settings.fleet.stop_timeout, milliseconds(6500));
  EXPECT_EQ(settings.fleet.retry_slack, 64u);
  EXPECT_FALSE(settings.fleet.evacuation_time);
  EXPECT_EQ(settings.unknown_names, std::vector<std::string>{"some.new.field"});
}

// Guards against admission control where no deployment has asked for it.
TEST(PlatformSettings, AdmissionControlIsOffUnlessSet) {
  auto admission_control = [](const std::string& more) {
    auto checked = read(std::string(kSettings) + more);
    return std::get<DaemonSettings>(checked).fleet.admission_control;
  };
  EXPECT_FALSE(admission_control(""));
  EXPECT_FALSE(admission_control("eelgrasspin.admissionControl=off\n"));
  EXPECT_TRUE(admission_control("eelgrasspin.admissionControl=on\n"));
}

TEST(PlatformSettings, EvacuationsAreKnownOnlyWhereTheirTimeIsSet) {
  auto checked = read(std::string(kSettings) + "terms.bounds.evacuateS=5\n");
  ASSERT_TRUE(std::holds_alternative<DaemonSettings>(checked));
  EXPECT_EQ(std::get<DaemonSettings>(checked).fleet.evacuation_time,
            seconds(5));
}

// Guards against connections that take the descriptors reserved for files.
TEST(PlatformSettings, ReservesDescriptorsForFiles) {
  auto max_connections = [](const std::string& more) {
    auto checked = read(std::string(kSettings) + more);
    return std::get<DaemonSettings>(checked).fleet.max_connections;
  };
  EXPECT_EQ(max_connections(""), 0u);
  EXPECT_EQ(max_connections("self.limits.maxFds=3075\n"), 2875u);
  EXPECT_GT(max_connections("self.limits.maxFds=100\n"), 0u);
}

TEST(PlatformSettings, MissingAndWrongFieldsAreListedTogether) {
  auto checked = read(
      "self.node=x\nself.ip=10.0.0.1\nself.zone=a\nnonsense\n"
      "network.listen.front=here\nterms.bounds.graceS=soon\n");
  ASSERT_TRUE(std::holds_alternative<std::vector<Finding>>(checked));
  std::string all;
  for (const Finding& finding : std::get<std::vector<Finding>>(checked)) {
    all += to_string(finding) + "\n";
  }
  for (const char* part :
       {"self.region is missing", "network.listen.ready is missing",
        "network.portRange is missing", "platform.platform.addr is missing",
        "local.conf:4", "local.conf:5", "local.conf:6"}) {
    EXPECT_NE(all.find(part), std::string::npos) << part << " in\n" << all;
  }
}

constexpr char kConfiguration[] =
    R"({"version":7,"limits":{"headerBytes":16384,"bodyBytes":67108864,)"
    R"("headerTimeoutS":3,"idleTimeoutS":15},"baseVer":5,"listeners":[)"
    R"({"host":"a.example","rules":[{"name":"r1","kind":"safe","sloS":0.5,)"
    R"("priority":2,"match":{"prefix":"/x/"},"action":{"split":[)"
    R"({"service":"one","weight":90},{"service":"two","weight":10}],)"
    R"("timeoutS":1,"attempts":2}}]},{"host":"b.example","rules":[)"
    R"({"name":"r2","kind":"unsafe","sloS":0.6,"priority":1,)"
    R"("match":{"prefix":"/y/"},"action":{"service":"two","timeoutS":1.2,)"
    R"("attempts":2}}]}],"clusters":[{"name":"one","healthPath":"/health",)"
    R"("maxConns":130,"sharded":true,"warmS":3.0},)"
    R"({"name":"two","healthPath":"/health","maxConns":130}]})";

TEST(PlatformObjects, ReadsAConfiguration) {
  auto result = read_configuration(kConfiguration);
  ASSERT_TRUE(ok(result)) << error(result).message;
  const fleet::Configuration& read = value(result);
  EXPECT_EQ(read.version, 7u);
  ASSERT_EQ(read.routes.size(), 2u);
  EXPECT_TRUE(read.routes[0].repeatable);
  EXPECT_EQ(read.routes[0].destinations[1].weight, 10u);
  EXPECT_FALSE(read.routes[1].repeatable);
  EXPECT_EQ(read.routes[1].timeout, milliseconds(1200));
  EXPECT_TRUE(read.services.at(ServiceName("one")).keyed);
  EXPECT_EQ(read.limits.idle_timeout, seconds(15));
}

TEST(PlatformObjects, ReadsRegionsAndTheRateOfColdServers) {
  std::string text = kConfiguration;
  auto replace = [&text](const std::string& from, const std::string& to) {
    text.replace(text.find(from), from.size(), to);
  };
  replace("\"timeoutS\":1.2,",
          "\"timeoutS\":1.2,\"allowedRegions\":[\"north\",\"south\"],");
  replace("\"maxConns\":130}",
          "\"maxConns\":130,\"coldStartS\":3.0,"
          "\"coldPerS\":3.4}");
  auto read = read_configuration(text);
  ASSERT_TRUE(ok(read)) << error(read).message;
  EXPECT_TRUE(value(read).routes[0].allowed_regions.empty());
  EXPECT_EQ(
      value(read).routes[1].allowed_regions,
      (std::vector<RegionName>{RegionName("north"), RegionName("south")}));
  const auto& services = value(read).services;
  EXPECT_EQ(services.at(ServiceName("one")).cold_rate.per_second, 0);
  EXPECT_EQ(services.at(ServiceName("two")).cold_rate.per_second, 3.4);
  EXPECT_EQ(services.at(ServiceName("two")).cold_time, seconds(3));
}

TEST(PlatformObjects, EvacuationsAreNamedByZoneWhateverTheyContain) {
  auto page = read_list(
      io::ObjectKind::kEvacuations,
      R"({"items":[{"metadata":{"name":"a","rev":3},"spec":{},"status":null},)"
      R"({"metadata":{"name":"b","rev":4},"spec":[7],"status":null}],)"
      R"("hasMore":false,"asOf":9})");
  ASSERT_TRUE(ok(page));
  ASSERT_EQ(value(page).objects.size(), 2u);
  EXPECT_EQ(value(page).objects[0].name, "a");
  EXPECT_EQ(value(page).objects[1].name, "b");
}

TEST(PlatformRequests, ReadsTheLoadThatServersState) {
  auto load = [](const char* field) {
    return server_notice({200, {{kServerLoadHeader, field}}, "", false}).load;
  };
  auto full = load("3,1,8,150");
  ASSERT_TRUE(full);
  EXPECT_EQ(full->running, 3u);
  EXPECT_EQ(full->waiting, 1u);
  EXPECT_EQ(full->slots, 8u);
  EXPECT_EQ(full->work_time_ratio, 1.5);
  ASSERT_TRUE(load("3,0,8"));
  EXPECT_EQ(load("3,0,8")->work_time_ratio, 1.0);
  for (const char* odd : {"", "3", "3,0", "a,b,c", "1,2,3,4,5", "-1,0,3",
                          "1e99,0,3", "1,,3", "1,2,3,"}) {
    EXPECT_FALSE(load(odd)) << odd;
  }
}

// Guards against uploads that run twice, and other kinds taken for uploads.
TEST(PlatformObjects, UploadsAreNotRepeatable) {
  std::string text = kConfiguration;
  const std::string kind = "\"unsafe\"";
  text.replace(text.find(kind), kind.size(), "\"upload\"");
  auto read = read_configuration(text);
  ASSERT_TRUE(ok(read));
  EXPECT_FALSE(value(read).routes[0].upload);
  EXPECT_TRUE(value(read).routes[1].upload);
  EXPECT_FALSE(value(read).routes[1].repeatable);
}

TEST(PlatformObjects, HostsOfRoutesMatchInAnyCase) {
  std::string text = kConfiguration;
  text.replace(text.find("a.example"), 9, "A.Example");
  auto read = read_configuration(text);
  ASSERT_TRUE(ok(read));
  auto head = HeaderFormat().read_caller_request(
      {"GET", "/x/1", {{"Host", "a.EXAMPLE:80"}}, "", {}});
  ASSERT_TRUE(ok(head));
  EXPECT_NE(fleet::find_route(value(read), value(head).host, "/x/1"), nullptr);
}

TEST(PlatformObjects, IncompleteOrInvalidConfigurationIsRejected) {
  std::string text = kConfiguration;
  auto accepts_changed = [&](const std::string& from, const std::string& to) {
    std::string changed = text;
    changed.replace(changed.find(from), from.size(), to);
    return ok(read_configuration(changed));
  };
  EXPECT_FALSE(accepts_changed("\"service\":\"two\",\"timeoutS\"",
                               "\"service\":\"six\",\"timeoutS\""));
  EXPECT_FALSE(accepts_changed("\"timeoutS\":1.2,", ""));
  EXPECT_FALSE(accepts_changed("\"timeoutS\":1.2", "\"timeoutS\":-1"));
  EXPECT_FALSE(accepts_changed("\"weight\":90", "\"weight\":-90"));
  EXPECT_FALSE(accepts_changed("/x/", "x"));
  EXPECT_FALSE(accepts_changed("\"version\":7", "\"version\":\"new\""));
  for (std::size_t cut = 0; cut + 1 < text.size(); cut += 7) {
    EXPECT_FALSE(ok(read_configuration(text.substr(0, cut)))) << cut;
  }
}

constexpr char kServer[] =
    R"({"addr":"10.128.0.9:8080","born":1768982855592,"info":{"service":"one",)"
    R"("version":"v1","zone":"a","slots":2},)"
    R"("status":{"state":"ready","seq":4,"coldLeftS":1.5}})";

TEST(PlatformObjects, ReadsAServer) {
  auto result = read_server("i-1", kServer);
  ASSERT_TRUE(ok(result)) << error(result).message;
  EXPECT_EQ(value(result).incarnation, Incarnation(1768982855592));
  EXPECT_EQ(value(result).warm_up_left, milliseconds(1500));
  EXPECT_FALSE(value(result).draining);
}

std::string nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

/// Entries of the registry that another writer may have left.
std::vector<std::string> odd_specs() {
  auto with = [](std::string_view from, const std::string& to) {
    std::string changed = kServer;
    return changed.replace(changed.find(from), from.size(), to);
  };
  return {nested(31),
          nested(33),
          nested(100'000),
          std::string(50'000, '[') + R"("]\"[")" + std::string(50'000, ']'),
          with("1768982855592", "1e99999999999999"),
          with("1768982855592", std::string(5000, '9')),
          with("\"slots\":2", "\"slots\":4294967297"),
          with("\"slots\":2", "\"slots\":4000000000"),
          with("\"slots\":2", "\"slots\":-1"),
          with(":8080", ":0"),
          with(":8080", ":70000"),
          with(":8080", ""),
          with("10.128.0.9:8080", "somewhere:80"),
          with("\"10.128.0.9:8080\"", "7"),
          with("10.128.0.9", "\xff\xfe"),
          "\"" + std::string(100'000, 'x') + "\"",
          "[]",
          "null"};
}

std::string joined(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& part : parts) text += part;
  return text;
}
std::string entry(const std::string& name, const std::string& spec) {
  return joined(
      {R"({"metadata":{"name":")", name, R"(","rev":4},"spec":)", spec, "}"});
}

TEST(PlatformObjects, OddEntryDoesNotHideTheOthers) {
  std::string sound = entry("i-1", kServer);
  for (const std::string& spec : odd_specs()) {
    std::string odd = entry("odd", spec);
    std::string label = spec.substr(0, 120);
    auto page = read_list(io::ObjectKind::kServers,
                          joined({R"({"items":[)", odd, ",", sound,
                                  R"(],"hasMore":false,"asOf":9})"}));
    ASSERT_TRUE(ok(page)) << label << ": " << error(page).message;
    ASSERT_EQ(value(page).objects.size(), 2u) << label;
    EXPECT_EQ(value(page).objects[0].name, "odd") << label;
    EXPECT_FALSE(
        std::holds_alternative<fleet::Server>(value(page).objects[0].value))
        << label;
    EXPECT_TRUE(
        std::holds_alternative<fleet::Server>(value(page).objects[1].value))
        << label;
    auto changes =
        read_changes(io::ObjectKind::kServers,
                     joined({R"({"events":[{"object":)", odd,
                             R"(,"deleted":false},{"object":)", sound,
                             R"(,"deleted":false}],"asOf":9})"}));
    ASSERT_TRUE(ok(changes)) << label;
    ASSERT_EQ(value(changes).objects.size(), 2u) << label;
    EXPECT_TRUE(
        std::holds_alternative<fleet::Server>(value(changes).objects[1].value))
        << label;
    EXPECT_EQ(value(changes).as_of, Version(9)) << label;
  }
}

/// Values that writers of JSON print and its parsers reject.
const char* const kUnparsableValues[] = {R"("\udcff")",
                                         R"("\ud800\ud800")",
                                         R"("a\ud83d")",
                                         R"("\x41")",
                                         R"("\u12g4")",
                                         "\"\x01\"",
                                         "\"\xff\"",
                                         "\"\xed\xb3\xbf\"",
                                         "NaN",
                                         "Infinity",
                                         "-Infinity",
                                         "01",
                                         "1.",
                                         "+1",
                                         "0x1f",
                                         "undefined",
                                         R"("\ud83d\n\"]},")",
                                         "-",
                                         "1e",
                                         "True"};

/// Guards against losing the list of servers to one value that cannot be
/// parsed, wherever in an entry it is.
TEST(PlatformObjects, UnparsableValueHidesItsOwnEntryOnly) {
  std::string sound = entry("i-1", kServer);
  for (const char* odd : kUnparsableValues) {
    std::string in_service = kServer;
    std::size_t at = in_service.find("\"service\":") + 10;
    in_service.replace(at, in_service.find(',', at) - at, odd);
    std::string as_name = joined(
        {R"({"metadata":{"name":)", odd, R"(,"rev":4},"spec":)", kServer, "}"});
    std::string as_key = entry("odd", joined({"{", odd, ":1}"}));
    for (const std::string& entry_text :
         {entry("odd", in_service), entry("odd", odd), as_name, as_key}) {
      if (entry_text == as_key && odd[0] != '"') continue;
      auto page = read_list(io::ObjectKind::kServers,
                            joined({R"({"items":[)", entry_text, ",", sound,
                                    R"(],"hasMore":false,"asOf":9})"}));
      ASSERT_TRUE(ok(page)) << entry_text << ": " << error(page).message;
      ASSERT_EQ(value(page).objects.size(), 2u) << entry_text;
      EXPECT_FALSE(
          std::holds_alternative<fleet::Server>(value(page).objects[0].value))
          << entry_text;
      EXPECT_TRUE(
          std::holds_alternative<fleet::Server>(value(page).objects[1].value))
          << entry_text;
    }
  }
}

TEST(PlatformObjects, UnknownFieldOfAnyDepthIsIgnored) {
  std::string spec = kServer;
  spec.insert(1, R"("more":)" + nested(5000) + ",");
  auto page = read_list(io::ObjectKind::kServers,
                        R"({"items":[{"metadata":{"name":"i-1","rev":4},)"
                        R"("spec":)" +
                            spec + R"(}],"hasMore":false,"asOf":9})");
  ASSERT_TRUE(ok(page));
  EXPECT_TRUE(
      std::holds_alternative<fleet::Server>(value(page).objects[0].value));
}

TEST(PlatformObjects, ObjectWithoutReadableMetadataDoesNotHideTheOthers) {
  std::string sound = entry("i-1", kServer);
  for (const char* odd :
       {"7", "{}", R"({"metadata":[]})", R"({"metadata":{"name":"odd"}})",
        R"({"metadata":{"name":3,"rev":1}})",
        R"({"metadata":{"name":"odd","rev":-1},"spec":{}})"}) {
    auto page = read_list(io::ObjectKind::kServers,
                          joined({R"({"items":[)", odd, ",", sound,
                                  R"(],"hasMore":false,"asOf":9})"}));
    ASSERT_TRUE(ok(page)) << odd;
    ASSERT_EQ(value(page).objects.size(), 2u) << odd;
    EXPECT_TRUE(std::holds_alternative<io::UnreadableObject>(
        value(page).objects[0].value))
        << odd;
  }
}

/// An entry with arbitrary bytes in a string does not hide the others.
RC_GTEST_PROP(PlatformObjects, ArbitraryStringHidesItsOwnEntryOnly,
              (const std::string& bytes, bool escape)) {
  std::string quoted;
  for (char c : bytes) {
    if (c == '"') quoted += '\\';
    quoted += c;
    if (c == '\\') quoted += escape ? "udcff" : "\\";
  }
  std::string spec = kServer;
  std::size_t at = spec.find("\"service\":\"") + 11;
  spec.insert(at, quoted);
  auto page = read_list(
      io::ObjectKind::kServers,
      joined({R"({"items":[)", entry("odd", spec), ",", entry("i-1", kServer),
              R"(],"hasMore":false,"asOf":9})"}));
  RC_ASSERT(ok(page));
  RC_ASSERT(value(page).objects.size() == 2u);
  RC_ASSERT(value(page).objects[0].name == "odd");
  RC_ASSERT(
      std::holds_alternative<fleet::Server>(value(page).objects[1].value));
}

/// Values that are too deep are dropped, whatever strings contain.
RC_GTEST_PROP(PlatformObjects, BracketsInStringsAreNotNesting,
              (const std::string& text)) {
  std::string quoted;
  for (char c : text) {
    if (c == '"' || c == '\\') quoted += '\\';
    if (static_cast<unsigned char>(c) >= 0x20) quoted += c;
  }
  auto page = read_list(
      io::ObjectKind::kRecords,
      R"({"items":[{"metadata":{"name":"a","rev":1},"spec":)" + nested(100) +
          R"(},{"metadata":{"name":"b","rev":2},"spec":"[[{\"]] )" + quoted +
          R"("}],"hasMore":false,"asOf":9})");
  RC_ASSERT(ok(page));
  RC_ASSERT(value(page).objects.size() == 2u);
  RC_ASSERT(value(page).objects[1].name == "b");
}

TEST(PlatformObjects, UnreadableEntriesDoNotHideReadableOnes) {
  std::string list =
      std::string(R"({"items":[)") +
      R"({"metadata":{"name":"bad","rev":3},"spec":{"addr":1}},)" +
      R"({"metadata":{"name":"i-1","rev":4},"spec":)" + kServer +
      R"(}],"hasMore":false,"asOf":9})";
  auto page = read_list(io::ObjectKind::kServers, list);
  ASSERT_TRUE(ok(page));
  ASSERT_EQ(value(page).objects.size(), 2u);
  EXPECT_TRUE(std::holds_alternative<io::UnreadableObject>(
      value(page).objects[0].value));
  EXPECT_TRUE(
      std::holds_alternative<fleet::Server>(value(page).objects[1].value));
  for (const char* state : {"\"gone\"", "3", "null"}) {
    std::string changed = kServer;
    changed.replace(changed.find("\"ready\""), 7, state);
    EXPECT_FALSE(ok(read_server("i-1", changed))) << state;
  }
}

io::HttpRequest caller_request() {
  return {"GET",
          "/x/1?a=b",
          {{"Host", "A.example:80"},
           {kRequestIdHeader, "id1"},
           {kDeadlineMsHeader, "2000"},
           {kShardKeyHeader, "4096"},
           {"Connection", "X-Mine"},
           {"X-Mine", "1"},
           {"X-Other", "2"}},
          "",
          {}};
}

TEST(PlatformRequests, ReadsCallerFields) {
  auto read = HeaderFormat().read_caller_request(caller_request());
  ASSERT_TRUE(ok(read));
  EXPECT_EQ(value(read).host, "a.example");
  EXPECT_EQ(value(read).path, "/x/1");
  EXPECT_EQ(value(read).key, fleet::ShardKey(4096));
  EXPECT_EQ(value(read).deadline, seconds(2));
}

TEST(PlatformRequests, InvalidFieldsAreErrors) {
  for (auto [name, text] :
       {std::pair(kShardKeyHeader, "65536"), std::pair(kShardKeyHeader, "-1"),
        std::pair(kDeadlineMsHeader, "soon")}) {
    io::HttpRequest request = caller_request();
    for (auto& [field, content] : request.headers) {
      if (field == name) content = text;
    }
    EXPECT_FALSE(ok(HeaderFormat().read_caller_request(request)))
        << name << text;
  }
}

TEST(PlatformRequests, ForwardsTheRequestToTheServer) {
  fleet::SendAttempt attempt;
  attempt.server = ServerName("i-1");
  attempt.time_left = milliseconds(700);
  io::HttpRequest forwarded =
      HeaderFormat().make_server_request(caller_request(), attempt);
  EXPECT_EQ(*io::find_header(forwarded.headers, kDeadlineMsHeader), "700");
  EXPECT_EQ(io::count_headers(forwarded.headers, kDeadlineMsHeader), 1u);
  EXPECT_EQ(*io::find_header(forwarded.headers, kExpectInstanceHeader), "i-1");
  EXPECT_EQ(*io::find_header(forwarded.headers, kRequestIdHeader), "id1");
  EXPECT_EQ(*io::find_header(forwarded.headers, "X-Other"), "2");
  EXPECT_EQ(io::find_header(forwarded.headers, "X-Mine"), nullptr);
}

TEST(PlatformRequests, OnlyAStatedNotRunCountsAsNotRun) {
  HeaderFormat format;
  using fleet::AttemptResult;
  auto result = [&](int status, io::HeaderFields headers) {
    return format.classify({status, std::move(headers), "", false}).result;
  };
  EXPECT_EQ(result(200, {{kResponseStampHeader, "s"}}),
            AttemptResult::kAnswered);
  EXPECT_EQ(result(503, {{kNotRunHeader, "1"}}), AttemptResult::kNotRun);
  EXPECT_EQ(result(421, {}), AttemptResult::kWrongOwner);
  EXPECT_EQ(result(503, {{kResponseStampHeader, "s"}}),
            AttemptResult::kAnswered);
  EXPECT_EQ(result(200, {}), AttemptResult::kAnswerLost);
  EXPECT_EQ(
      result(200, {{kResponseStampHeader, "s"}, {"Content-Encoding", "gzip"}}),
      AttemptResult::kAnswerLost);
}

TEST(PlatformRequests, RefusalsNameTheServerThatAnswers) {
  auto answered_by = [](int status, io::HeaderFields headers) {
    headers.emplace_back(kInstanceHeader, "i-2");
    return HeaderFormat()
        .classify({status, std::move(headers), "", false})
        .answered_by;
  };
  EXPECT_EQ(answered_by(421, {{kNotRunHeader, "1"}}), ServerName("i-2"));
  EXPECT_EQ(answered_by(421, {}), ServerName("i-2"));
  EXPECT_EQ(answered_by(503, {{kNotRunHeader, "1"}}), ServerName("i-2"));
  EXPECT_EQ(answered_by(200, {{kResponseStampHeader, "s"}}), ServerName());
}

TEST(PlatformRequests, ContradictoryRefusalsProveNothing) {
  using fleet::AttemptResult;
  HeaderFormat format;
  auto result = [&](int status, io::HeaderFields headers) {
    return format.classify({status, std::move(headers), "", false}).result;
  };
  EXPECT_EQ(result(503, {{kNotRunHeader, "1"}, {kResponseStampHeader, "s"}}),
            AttemptResult::kAnswerLost);
  EXPECT_EQ(result(421, {{kResponseStampHeader, "s"}}),
            AttemptResult::kAnswerLost);
  EXPECT_EQ(result(200, {{kNotRunHeader, "1"}}), AttemptResult::kAnswerLost);
  EXPECT_EQ(result(429, {{kNotRunHeader, "1"}}), AttemptResult::kNotRun);
}

TEST(PlatformRequests, ServersAnnounceThatTheyLeave) {
  HeaderFormat format;
  auto leaving = [&](int status, io::HeaderFields headers) {
    headers.emplace_back(kServerLeavingHeader, "1");
    return format.classify({status, std::move(headers), "", false})
        .notice.leaving;
  };
  EXPECT_TRUE(leaving(200, {{kResponseStampHeader, "s"}}));
  EXPECT_TRUE(leaving(503, {{kNotRunHeader, "1"}}));
  EXPECT_FALSE(leaving(421, {})) << "another server may have the address";
  EXPECT_FALSE(format.classify({200, {{kResponseStampHeader, "s"}}, "", false})
                   .notice.leaving);
}

TEST(PlatformRequests, RetryAfterOfA503IsABackoff) {
  auto retry_after = [](int status, const char* field) {
    return server_notice({status, {{kRetryAfterHeader, field}}, "", false})
        .retry_after;
  };
  EXPECT_EQ(retry_after(503, "2"), seconds(2));
  EXPECT_EQ(retry_after(503, "0.25"), milliseconds(250));
  EXPECT_EQ(retry_after(200, "2"), Duration(0));
  for (const char* unusable :
       {"0", "-3", "", "soon", "nan", "2 s", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    EXPECT_EQ(retry_after(503, unusable), Duration(0)) << unusable;
  }
  for (const char* huge : {"1e300", "99999999999999999999", "inf"}) {
    EXPECT_GE(retry_after(503, huge), seconds(3600)) << huge;
  }
}

TEST(PlatformRequests, ResponsesToOtherRequestsDoNotMatch) {
  HeaderFormat format;
  EXPECT_TRUE(format.matches_request(
      "id1", {200, {{kRequestIdHeader, "id1"}}, "", false}));
  EXPECT_FALSE(format.matches_request(
      "id1", {200, {{kRequestIdHeader, "id2"}}, "", false}));
  EXPECT_FALSE(format.matches_request(
      "id1", {200, {{kResponseStampHeader, "s"}}, "", false}));
  EXPECT_FALSE(
      format.matches_request("id1", {503, {{kNotRunHeader, "1"}}, "", false}));
  EXPECT_TRUE(
      format.matches_request("", {400, {{kNotRunHeader, "1"}}, "", false}));
}

TEST(PlatformRequests, RetryAfterIsInSeconds) {
  io::HttpResponse answer = HeaderFormat().make_router_response(
      "id1", 503, milliseconds(250), "full");
  EXPECT_EQ(*io::find_header(answer.headers, kRetryAfterHeader), "0.250");
  EXPECT_EQ(io::find_header(answer.headers, kResponseStampHeader), nullptr);
}

/// Replaces, removes or inserts some bytes of a valid text.
std::string mutated(std::string text, const std::vector<std::uint32_t>& draws) {
  for (std::size_t i = 0; i + 1 < draws.size() && !text.empty(); i += 2) {
    std::size_t position = draws[i] % text.size();
    auto byte = static_cast<char>(draws[i + 1] % 256);
    switch (draws[i + 1] % 3) {
      case 0:
        text[position] = byte;
        break;
      case 1:
        text.erase(position, 1 + draws[i + 1] % 5);
        break;
      default:
        text.insert(position, 1, byte);
        break;
    }
  }
  return text;
}

/// On mutated input the decoders neither crash nor accept values that violate
/// their own rules.
RC_GTEST_PROP(PlatformFuzz, MutatedInputIsDecodedOrRejected, ()) {
  auto draws = *rc::gen::container<std::vector<std::uint32_t>>(
      rc::gen::inRange<std::uint32_t>(0, 100'000));
  auto configuration = read_configuration(mutated(kConfiguration, draws));
  if (ok(configuration)) {
    for (const fleet::Route& route : value(configuration).routes) {
      RC_ASSERT(route.timeout.count() > 0);
      RC_ASSERT(route.attempts > 0u);
      RC_ASSERT(!route.destinations.empty());
    }
  }
  auto server = read_server("i-1", mutated(kServer, draws));
  if (ok(server)) RC_ASSERT(value(server).slots > 0u);
  read(mutated(kSettings, draws));
  read_list(io::ObjectKind::kServers,
            mutated(R"({"items":[],"asOf":1})", draws));
}

RC_GTEST_PROP(FleetMessages, RoundTripAndMutations, ()) {
  fleet::Heartbeat heartbeat;
  heartbeat.daemon = {DaemonName("d1"), Incarnation(5), ZoneName("z"),
                      RegionName("r"), Endpoint("10.0.0.1:7")};
  heartbeat.sequence = *rc::gen::inRange<std::uint64_t>(0, 1'000'000);
  heartbeat.stopping = *rc::gen::arbitrary<bool>();
  heartbeat.loads = {{ServerName("s1"), 3}, {ServerName("s2"), 1}};
  heartbeat.terms = {
      {ServiceName("b"), TermEpoch(4), milliseconds(20), fleet::at(99)}};
  heartbeat.key_load_reports = {{ServiceName("b"),
                                 {{fleet::ShardKey(7), 1.25}},
                                 {{ServerName("s1"), 2.5, milliseconds(160)}}}};
  std::string text = codec::encode_heartbeat(heartbeat);
  auto decoded = codec::decode_datagram(text);
  RC_ASSERT(ok(decoded));
  const auto& read = std::get<fleet::Heartbeat>(value(decoded));
  RC_ASSERT(read.daemon == heartbeat.daemon);
  RC_ASSERT(read.sequence == heartbeat.sequence);
  RC_ASSERT(read.stopping == heartbeat.stopping);
  RC_ASSERT(read.loads.size() == 2u);
  RC_ASSERT(read.key_load_reports[0].keys[0].request_count == 1.25);
  auto draws = *rc::gen::container<std::vector<std::uint32_t>>(
      rc::gen::inRange<std::uint32_t>(0, 100'000));
  codec::decode_datagram(mutated(text, draws));
}

TEST(FleetMessages, MapsWithGapsAreRejected) {
  fleet::OwnerMap map;
  map.service = ServiceName("b");
  map.ranges = {{fleet::ShardKey(0),
                 fleet::ShardKey(99),
                 {ServerName("s"), Incarnation(1)},
                 Epoch(1),
                 {}},
                {fleet::ShardKey(100),
                 fleet::ShardKey(65'535),
                 {ServerName("t"), Incarnation(2)},
                 Epoch(2),
                 {{ServerName("s"), Incarnation(1)}}}};
  auto decoded = codec::decode_owner_map(codec::encode_owner_map(map));
  ASSERT_TRUE(ok(decoded));
  EXPECT_TRUE(value(decoded) == map);
  map.replaced_coordinators = {{DaemonName("d1"), Incarnation(4)},
                               {DaemonName("d2"), Incarnation(5)}};
  decoded = codec::decode_owner_map(codec::encode_owner_map(map));
  ASSERT_TRUE(ok(decoded));
  EXPECT_TRUE(value(decoded) == map);
  auto change = codec::decode_datagram(codec::encode_map_change(
      fleet::change_between(map, fleet::at(1), map, fleet::at(2))));
  ASSERT_TRUE(ok(change));
  EXPECT_EQ(std::get<fleet::MapChange>(value(change)).replaced_coordinators,
            map.replaced_coordinators);
  map.ranges[1].first = fleet::ShardKey(101);
  EXPECT_FALSE(ok(codec::decode_owner_map(codec::encode_owner_map(map))));
}

TEST(PlatformRequests, ReadsTheLimitOfAServer) {
  auto limit = [](int status, const char* field) {
    return server_notice({status, {{kServerLimitHeader, field}}, "", false})
        .request_limit;
  };
  EXPECT_EQ(limit(200, "2.5"), fleet::RequestRate{2.5});
  EXPECT_EQ(limit(503, "40"), fleet::RequestRate{40});
  EXPECT_EQ(limit(200, "0"), fleet::RequestRate{0});
  EXPECT_EQ(limit(200, "inf"), fleet::RequestRate{1e6});
  for (const char* field : {"", "-1", "nan", "fast", "2.5/s"})
    EXPECT_FALSE(limit(200, field)) << field;
  EXPECT_FALSE(server_notice({200, {}, "", false}).request_limit);
}

}  // namespace
}  // namespace eelgrasspin::platform
