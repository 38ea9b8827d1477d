#ifndef EELGRASSPIN_LANG_LANG_H_
#define EELGRASSPIN_LANG_LANG_H_

#include <string>
#include <string_view>
#include <vector>

#include "eelgrasspin/command.h"
#include "eelgrasspin/result.h"

/// Text form of the operators' command language; grammar in docs/COMMANDS.md.
namespace eelgrasspin::lang {

/// Reads one command. Findings carry the column and what was expected there;
/// their file is `file`.
Checked<Command> parse(std::string_view text,
                       const std::string& file = "command");
/// Canonical text; parse(print(c)) == c.
std::string print(const Command& command);
/// Whether the command changes nothing.
bool is_query(const Command& command);
/// Words that may come next after `text`, for completion: keywords that go on
/// from the word being typed, and things such as "<service>" to be named.
std::vector<std::string> completions(std::string_view text);

/// "90s", "2m", "250ms", "1h".
Result<Duration> parse_duration(std::string_view text);
std::string print_duration(Duration duration);

}  // namespace eelgrasspin::lang

#endif  // EELGRASSPIN_LANG_LANG_H_
