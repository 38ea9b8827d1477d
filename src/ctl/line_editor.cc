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

/// readline takes plain functions; these two stand for their captures.
const Completer* current_completer = nullptr;
std::vector<std::string> current_words;

char* next_word(const char* begun, int state) {
  static std::size_t next = 0;
  if (state == 0) next = 0;
  while (next < current_words.size()) {
    const std::string& word = current_words[next++];
    if (word.starts_with(begun)) return strdup(word.c_str());
  }
  return nullptr;
}

char** complete(const char* begun, int start, int /*end*/) {
  std::string before(rl_line_buffer, static_cast<std::size_t>(start));
  current_words = (*current_completer)(before + begun);
  rl_attempted_completion_over = 1;
  return rl_completion_matches(begun, next_word);
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
