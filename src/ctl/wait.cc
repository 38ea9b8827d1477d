#include "ctl/wait.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <optional>
#include <thread>

#include "lang/lang.h"
#include "lang/lexer.h"

namespace eelgrasspin::ctl {
namespace {

constexpr Duration kPollInterval = milliseconds(250);

/// Result of one poll; `exit_code` is set when there is nothing left to wait
/// for.
struct Progress {
  std::string line;
  std::optional<ExitCode> exit_code;
};

/// Cell of the first row of the first section; empty if there is none.
std::string cell(const CommandAnswer& answer, const std::string& column) {
  if (answer.sections.empty()) return {};
  const Table& table = answer.sections.front().table;
  auto found = std::find(table.columns.begin(), table.columns.end(), column);
  if (found == table.columns.end() || table.rows.empty()) return {};
  auto index = static_cast<std::size_t>(found - table.columns.begin());
  const auto& row = table.rows.front();
  return index < row.size() ? row[index] : std::string();
}

class CompletionPoller {
 public:
  CompletionPoller(Client& client, const Command& command, const CommandId& id)
      : client_(client), command_(command), id_(id) {}

  Progress poll() {
    if (!command_done_) {
      Progress progress = poll_command();
      if (progress.exit_code != kDone) return progress;
      command_done_ = true;
    }
    if (const auto* drain = std::get_if<DrainCommand>(&command_)) {
      return poll_drain(*drain);
    }
    if (const auto* close = std::get_if<CloseCommand>(&command_)) {
      return poll_closure(*close);
    }
    return {"command " + id_.str() + ": done", kDone};
  }

 private:
  std::optional<CommandAnswer> query(const std::string& text) {
    Answer answer = client_.send_command(text, client_.new_command_id(), true);
    if (auto* failure = std::get_if<Failure>(&answer)) {
      failure_message_ = failure->message;
      return std::nullopt;
    }
    return std::get<CommandAnswer>(std::move(answer));
  }

  /// State of the command's own record: done, refused or still open.
  Progress poll_command() {
    auto answer =
        query("show commands where id = " + lang::word_or_quoted(id_.str()));
    if (!answer) return {failure_message_, std::nullopt};
    std::string state = cell(*answer, "state");
    std::string line = "command " + id_.str() + ": " + state;
    std::string result = cell(*answer, "result");
    if (!result.empty()) line += ", " + result;
    if (state == "done") return {line, kDone};
    if (state == "refused" || state == "lost to conflict") {
      return {line, kRefused};
    }
    return {line, std::nullopt};
  }

  Progress poll_drain(const DrainCommand& drain) {
    auto answer = query("show drains where server = " + drain.server.str());
    if (!answer) return {failure_message_, std::nullopt};
    std::string state = cell(*answer, "state");
    std::string line = "server " + drain.server.str() + ": " + state + ", " +
                       cell(*answer, "units") + " slots and keys left";
    if (state == "drained") return {line, kDone};
    if (state == "cancelled") return {line, kRefused};
    return {line, std::nullopt};
  }

  Progress poll_closure(const CloseCommand& close) {
    auto answer = query("show closure " + close.service.str());
    if (!answer) return {failure_message_, std::nullopt};
    std::string step = answer->message;
    std::string line = "closure of " + close.service.str() + ": " + step;
    if (step == "sealed") return {line, kDone};
    if (step == "cancelled") return {line, kRefused};
    return {line, std::nullopt};
  }

  Client& client_;
  const Command& command_;
  const CommandId& id_;
  bool command_done_ = false;
  std::string failure_message_;
};

}  // namespace

int wait_until_finished(Client& client, const Command& command,
                        const CommandId& id, Duration timeout) {
  CompletionPoller poller(client, command, id);
  auto deadline = std::chrono::steady_clock::now() + timeout;
  std::string last_line;
  while (true) {
    Progress progress = poller.poll();
    if (progress.line != last_line) std::cerr << progress.line << std::endl;
    last_line = progress.line;
    if (progress.exit_code) return *progress.exit_code;
    if (std::chrono::steady_clock::now() >= deadline) break;
    std::this_thread::sleep_for(kPollInterval);
  }
  std::cerr << "eelctl: not finished within " << lang::print_duration(timeout)
            << "\n";
  return kUnknownOutcome;
}

}  // namespace eelgrasspin::ctl
