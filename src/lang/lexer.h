#ifndef EELGRASSPIN_LANG_LEXER_H_
#define EELGRASSPIN_LANG_LEXER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasspin::lang {

enum class TokenKind : std::uint8_t {
  kWord,      ///< Keyword, name, number or duration.
  kString,    ///< In double quotes; `text` is what it stands for.
  kOperator,  ///< = != < <= > >=
  kBad,       ///< `text` says what is wrong.
  kEnd,
};

struct Token {
  TokenKind kind = TokenKind::kEnd;
  std::string text;
  int column = 1;  ///< Of its first byte, from 1.
};

/// Tokens of a command; the last one is kEnd or kBad.
std::vector<Token> tokens_of(std::string_view text);

/// A string in quotes, with escapes, that tokens_of() reads back.
std::string quoted(std::string_view text);
/// `text` as a word if it can be one, else quoted.
std::string word_or_quoted(std::string_view text);

}  // namespace eelgrasspin::lang

#endif  // EELGRASSPIN_LANG_LEXER_H_
