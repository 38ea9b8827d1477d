#include "lang/lang.h"

#include <sstream>

#include "lang/lexer.h"
#include "lang/parser.h"
#include "lang/words.h"

namespace eelgrasspin::lang {
namespace {

class Printer {
 public:
  std::string operator()(const ShowCommand& show) {
    out_ << "show " << to_string(show.subject);
    const char* separator = " where ";
    for (const Condition& condition : show.conditions) {
      out_ << separator << condition.column << " "
           << to_string(condition.comparison) << " "
           << word_or_quoted(condition.value);
      separator = " and ";
    }
    if (show.since) out_ << " since " << print_duration(*show.since);
    if (show.limit) out_ << " limit " << *show.limit;
    return out_.str();
  }

  std::string operator()(const OwnerCommand& owner) {
    out_ << "owner of " << owner.service << " " << quoted(owner.key.str());
    return out_.str();
  }

  std::string operator()(const MoveCommand& move) {
    out_ << "move " << move.service;
    if (move.slot) {
      out_ << " slot " << *move.slot;
    } else {
      out_ << " key " << quoted(move.key.str());
    }
    if (!move.zone.empty()) {
      out_ << " to zone " << move.zone;
    } else if (move.server.str() == "zone") {
      out_ << " to " << quoted(move.server.str());
    } else {
      out_ << " to " << move.server;
    }
    return out_.str();
  }

  std::string operator()(const DrainCommand& drain) {
    out_ << "drain server " << drain.server << " within "
         << print_duration(drain.within);
    return out_.str();
  }

  std::string operator()(const UndrainCommand& undrain) {
    return "undrain server " + undrain.server.str();
  }

  std::string operator()(const CloseCommand& close) {
    out_ << "close service " << close.service << " deadline "
         << print_duration(close.deadline) << " reason "
         << quoted(close.reason);
    return out_.str();
  }

  std::string operator()(const CancelClosureCommand& cancel) {
    return "cancel closure " + cancel.service.str();
  }

  std::string operator()(const ShowClosureCommand& show) {
    return "show closure " + show.service.str();
  }

  std::string operator()(const ReportCommand& report) {
    return "report closure " + report.service.str();
  }

  std::string operator()(const StopDaemonCommand& stop) {
    return "stop daemon " + stop.daemon.str();
  }

  std::string operator()(const FenceCommand& fence) {
    if (!fence.zone.empty()) return "fence zone " + fence.zone.str();
    return "fence daemon " + fence.daemon.str();
  }

  std::string operator()(const ReleaseCommand& release) {
    out_ << "release quarantined " << std::hex << release.fingerprint;
    return out_.str();
  }

 private:
  std::ostringstream out_;
};

}  // namespace

Checked<Command> parse(std::string_view text, const std::string& file) {
  return Parser(text, file).run();
}

std::string print(const Command& command) {
  return std::visit(Printer(), command);
}

bool is_query(const Command& command) {
  return std::holds_alternative<ShowCommand>(command) ||
         std::holds_alternative<OwnerCommand>(command) ||
         std::holds_alternative<ShowClosureCommand>(command) ||
         std::holds_alternative<ReportCommand>(command);
}

std::vector<std::string> completions(std::string_view text) {
  // Omits the word being typed, so that the parser stops in front of it.
  std::size_t space = text.find_last_of(" \t\r\n");
  std::size_t word_start = space == std::string_view::npos ? 0 : space + 1;
  std::string_view prefix = text.substr(word_start);
  Parser parser(text.substr(0, word_start), "command");
  bool complete = std::holds_alternative<Command>(parser.run());
  std::vector<std::string> words;
  if (!complete && !parser.failed_at_end()) return words;
  for (const std::string& word : parser.expected()) {
    if (word.starts_with('<') || word.starts_with(prefix))
      words.push_back(word);
  }
  return words;
}

}  // namespace eelgrasspin::lang
