#ifndef EELGRASSPIN_LANG_LANG_H_
#define EELGRASSPIN_LANG_LANG_H_

#include <string>
#include <string_view>
#include <vector>

#include "eelgrasspin/command.h"
#include "eelgrasspin/result.h"

/// Text form of the operators' command language; grammar in docs/COMMANDS.md.
namespace eelgrasspin::lang {

/// Parses one command. Findings give the column and what was expected there;
/// `file` is the file name in them.
Checked<Command> parse(std::string_view text,
                       const std::string& file = "command");
/// Canonical text of a command; parse(print(c)) == c.
std::string print(const Command& command);
/// Whether the command changes nothing.
bool is_query(const Command& command);
/// Completions of `text`: keywords that start with the word being typed, and
/// placeholders such as "<service>".
std::vector<std::string> completions(std::string_view text);

/// Parses a whole number with a unit, such as "90s", "2m", "250ms" or "1h".
Result<Duration> parse_duration(std::string_view text);
std::string print_duration(Duration duration);

}  // namespace eelgrasspin::lang

#endif  // EELGRASSPIN_LANG_LANG_H_
