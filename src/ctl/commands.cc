#include "ctl/commands.h"

#include <iostream>

#include "codec/message_json.h"
#include "core/operator/report.h"
#include "ctl/files.h"
#include "ctl/line_editor.h"
#include "ctl/print.h"
#include "ctl/report_page.h"
#include "ctl/wait.h"
#include "lang/lang.h"

namespace eelgrasspin::ctl {
namespace {

constexpr std::string_view kWhitespace = " \t\r\n";

int print_failure(const Options& options, const Failure& failure) {
  if (options.json) {
    CommandAnswer answer;
    answer.error = Error{ErrorCode::kUnavailable, failure.message};
    std::cout << codec::encode_answer(answer) << "\n";
  }
  std::cerr << "eelctl: " << failure.message << "\n";
  return failure.code;
}

int write_report_page(const Options& options, const CommandAnswer& answer) {
  if (write_file(options.html_file, report_page(answer))) {
    std::cout << "written: " << options.html_file << "\n";
    return kDone;
  }
  std::cerr << "eelctl: cannot write " << options.html_file << "\n";
  return kBadInput;
}

bool can_wait_for(const Command& command) { return !lang::is_query(command); }

/// Names that can replace a placeholder such as "<server>", from a daemon.
/// Empty if there are none or no daemon answers.
std::vector<std::string> fetch_names(Client& client,
                                     const std::string& placeholder) {
  std::string query;
  if (placeholder == "<service>") query = "show services";
  if (placeholder == "<server>") query = "show servers";
  if (placeholder == "<zone>") query = "show zones";
  if (placeholder == "<daemon>") query = "show daemons";
  if (query.empty()) return {};
  Answer answer = client.send_command(query, client.new_command_id(), true);
  auto* listing = std::get_if<CommandAnswer>(&answer);
  std::vector<std::string> names;
  if (listing == nullptr || listing->sections.empty()) return names;
  for (const auto& row : listing->sections.front().table.rows) {
    if (!row.empty()) names.push_back(row.front());
  }
  return names;
}

std::vector<std::string> complete(Client& client, const std::string& text) {
  std::vector<std::string> words;
  for (const std::string& word : lang::completions(text)) {
    if (!word.starts_with('<')) {
      words.push_back(word);
      continue;
    }
    for (std::string& name : fetch_names(client, word)) {
      words.push_back(std::move(name));
    }
  }
  return words;
}

}  // namespace

int run_command(Client& client, const Options& options,
                const std::string& text) {
  auto parsed = lang::parse(text);
  if (auto* findings = std::get_if<std::vector<Finding>>(&parsed)) {
    std::cerr << findings_text(text, *findings);
    return kBadInput;
  }
  const Command command = std::get<Command>(std::move(parsed));
  bool is_query = lang::is_query(command);
  CommandId id = client.new_command_id();
  Answer result = client.send_command(text, id, is_query);
  if (auto* failure = std::get_if<Failure>(&result)) {
    return print_failure(options, *failure);
  }
  const auto& answer = std::get<CommandAnswer>(result);
  ExitCode code = exit_code_for(answer, is_query);
  if (code == kDone && !options.html_file.empty() &&
      std::holds_alternative<ReportCommand>(command)) {
    return write_report_page(options, answer);
  }
  std::cout << (options.json ? codec::encode_answer(answer) + "\n"
                             : to_text(answer));
  std::cout << std::flush;
  if (code != kDone || !options.wait || !can_wait_for(command)) {
    return code;
  }
  return wait_until_finished(client, command, id, options.wait_limit);
}

int verify_report_file(const std::string& file) {
  auto text = read_file(file);
  if (!text) {
    std::cerr << "eelctl: cannot read " << file << "\n";
    return kBadInput;
  }
  auto report = codec::decode_answer(*text);
  if (!ok(report)) {
    std::cerr << file << ": " << error(report).message << "\n";
    return kBadInput;
  }
  auto findings = core::operators::verify_report(value(report));
  for (const Finding& finding : findings) {
    std::cerr << file << ": " << finding.message << "\n";
  }
  if (!findings.empty()) return kRefused;
  std::cout << file << ": verified\n";
  return kDone;
}

int run_prompt(Client& client, const Options& options) {
  Completer completer = [&client](const std::string& text) {
    return complete(client, text);
  };
  int status = kDone;
  while (auto line = read_line("eelctl> ", completer)) {
    if (line->find_first_not_of(kWhitespace) == std::string::npos) continue;
    if (*line == "exit" || *line == "quit") break;
    status = run_command(client, options, *line);
  }
  return status;
}

}  // namespace eelgrasspin::ctl
