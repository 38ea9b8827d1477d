#include "ctl/line_editor.h"

#include <iostream>

#ifdef EELGRASSPIN_READLINE
#include <cstdio>
// readline's headers need <cstdio> first.
#include <readline/history.h>
#include <readline/readline.h>

#include <cstdlib>
#include <cstring>
#endif

namespace eelgrasspin::ctl {

#ifdef EELGRASSPIN_READLINE
namespace {

/// readline calls plain functions, which cannot capture; these hold their
/// state.
const Completer* current_completer = nullptr;
std::vector<std::string> current_completions;

char* next_word(const char* prefix, int state) {
  static std::size_t next = 0;
  if (state == 0) next = 0;
  while (next < current_completions.size()) {
    const std::string& word = current_completions[next++];
    if (word.starts_with(prefix)) return strdup(word.c_str());
  }
  return nullptr;
}

char** complete(const char* prefix, int start, int /*end*/) {
  std::string before(rl_line_buffer, static_cast<std::size_t>(start));
  current_completions = (*current_completer)(before + prefix);
  rl_attempted_completion_over = 1;
  return rl_completion_matches(prefix, next_word);
}

}  // namespace

std::optional<std::string> read_line(const std::string& prompt,
                                     const Completer& completer) {
  current_completer = &completer;
  rl_attempted_completion_function = complete;
  rl_basic_word_break_characters = " \t\n";
  char* line = readline(prompt.c_str());
  if (line == nullptr) return std::nullopt;
  std::string text(line);
  std::free(line);
  if (!text.empty()) add_history(text.c_str());
  return text;
}

#else

std::optional<std::string> read_line(const std::string& prompt,
                                     const Completer& /*completer*/) {
  std::cout << prompt << std::flush;
  std::string text;
  if (!std::getline(std::cin, text)) return std::nullopt;
  return text;
}

#endif

}  // namespace eelgrasspin::ctl
