#include <iostream>

#include "ctl/client.h"
#include "ctl/commands.h"
#include "ctl/declarations.h"
#include "ctl/exit_codes.h"
#include "ctl/explain.h"
#include "ctl/options.h"

namespace {

using eelgrasspin::ctl::Client;
using eelgrasspin::ctl::Options;

int usage_error(const std::string& arguments) {
  std::cerr << "eelctl: usage: eelctl " << arguments << "\n";
  return eelgrasspin::ctl::kBadInput;
}

int run(const Options& options) {
  namespace ctl = eelgrasspin::ctl;
  Client client(options);
  const auto& words = options.words;
  if (words.empty()) return ctl::run_prompt(client, options);
  const std::string& first = words.front();
  if (first == "check" || first == "diff" || first == "apply") {
    if (words.size() != 2) return usage_error(first + " FILE");
    if (first == "check") return ctl::check(words[1]);
    if (first == "diff") return ctl::diff(client, words[1]);
    return ctl::apply(client, options, words[1]);
  }
  if (first == "report" && words.size() > 1 && words[1] == "verify") {
    if (words.size() != 3) return usage_error("report verify FILE");
    return ctl::verify_report_file(words[2]);
  }
  if (first == "explain") {
    if (words.size() < 3) return usage_error("explain ID LOG...");
    return ctl::explain(words[1], {words.begin() + 2, words.end()});
  }
  return ctl::run_command(client, options, ctl::command_text(words));
}

}  // namespace

int main(int argc, char** argv) {
  auto parsed = eelgrasspin::ctl::read_options(argc, argv);
  if (auto* early_exit = std::get_if<eelgrasspin::ctl::EarlyExit>(&parsed)) {
    return early_exit->status;
  }
  return run(std::get<Options>(parsed));
}
