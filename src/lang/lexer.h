#ifndef EELGRASSPIN_LANG_LEXER_H_
#define EELGRASSPIN_LANG_LEXER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasspin::lang {

enum class TokenKind : std::uint8_t {
  kWord,      ///< Keyword, name, number or duration.
  kString,    ///< In double quotes; `text` is the value without escapes.
  kOperator,  ///< = != < <= > >=
  kInvalid,   ///< `text` describes what is wrong.
  kEnd,
};

struct Token {
  TokenKind kind = TokenKind::kEnd;
  std::string text;
  int column = 1;  ///< Of its first byte, 1-based.
};

/// Tokens of a command; the last one is kEnd or kInvalid.
std::vector<Token> tokenize(std::string_view text);

/// `text` in quotes, with escapes, as tokenize() reads it.
std::string quoted(std::string_view text);
/// `text` as it is if it is a valid word, or else quoted.
std::string word_or_quoted(std::string_view text);

}  // namespace eelgrasspin::lang

#endif  // EELGRASSPIN_LANG_LEXER_H_
