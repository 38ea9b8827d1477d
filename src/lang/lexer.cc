#include "lang/lexer.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace eelgrasspin::lang {
namespace {

constexpr std::string_view kSpaces = " \t\r\n";
constexpr std::string_view kOperatorBytes = "=!<>";
constexpr std::string_view kHexDigits = "0123456789abcdef";

bool is_space(char c) { return kSpaces.find(c) != std::string_view::npos; }
bool is_operator_byte(char c) {
  return kOperatorBytes.find(c) != std::string_view::npos;
}
bool is_control(char c) {
  auto byte = static_cast<unsigned char>(c);
  return byte < 0x20 || byte == 0x7f;
}
bool is_word_byte(char c) {
  return !is_space(c) && !is_operator_byte(c) && !is_control(c) && c != '"' &&
         static_cast<unsigned char>(c) < 0x80;
}

class Lexer {
 public:
  explicit Lexer(std::string_view text) : text_(text) {}

  std::vector<Token> run() {
    std::vector<Token> tokens;
    do {
      tokens.push_back(next());
    } while (tokens.back().kind != TokenKind::kEnd &&
             tokens.back().kind != TokenKind::kInvalid);
    return tokens;
  }

 private:
  Token next() {
    while (position_ < text_.size() && is_space(text_[position_])) ++position_;
    token_start_ = position_;
    if (position_ == text_.size()) return token(TokenKind::kEnd, "");
    if (text_[position_] == '"') return string();
    if (is_operator_byte(text_[position_])) return comparison();
    if (!is_word_byte(text_[position_])) {
      return token(TokenKind::kInvalid, "a byte that is not printable ASCII");
    }
    while (position_ < text_.size() && is_word_byte(text_[position_]))
      ++position_;
    return token(TokenKind::kWord,
                 text_.substr(token_start_, position_ - token_start_));
  }

  Token comparison() {
    char first = text_[position_++];
    bool has_equals =
        first != '=' && position_ < text_.size() && text_[position_] == '=';
    if (has_equals) ++position_;
    if (first == '!' && !has_equals)
      return token(TokenKind::kInvalid, "a '!' without '='");
    return token(TokenKind::kOperator,
                 text_.substr(token_start_, position_ - token_start_));
  }

  Token string() {
    std::string content;
    ++position_;
    while (position_ < text_.size()) {
      char c = text_[position_++];
      if (c == '"') return token(TokenKind::kString, content);
      if (c == '\\') {
        if (!escape(content)) {
          token_start_ = position_;
          return token(TokenKind::kInvalid, "an unknown escape sequence");
        }
      } else {
        content += c;
      }
    }
    return token(TokenKind::kInvalid, "a string without its closing quote");
  }

  /// Reads an escape sequence after its backslash; false if it is unknown.
  bool escape(std::string& content) {
    if (position_ == text_.size()) return false;
    char c = text_[position_];
    if (c == '"' || c == '\\') {
      content += c;
      ++position_;
      return true;
    }
    if (c != 'x' || text_.size() - position_ < 3) return false;
    unsigned byte = 0;
    const char* digits = text_.data() + position_ + 1;
    auto [end, code] = std::from_chars(digits, digits + 2, byte, 16);
    if (code != std::errc() || end != digits + 2) return false;
    content += static_cast<char>(byte);
    position_ += 3;
    return true;
  }

  Token token(TokenKind kind, std::string_view text) const {
    return {kind, std::string(text), static_cast<int>(token_start_) + 1};
  }

  std::string_view text_;
  std::size_t position_ = 0;
  std::size_t token_start_ = 0;
};

}  // namespace

std::vector<Token> tokenize(std::string_view text) { return Lexer(text).run(); }

std::string quoted(std::string_view text) {
  std::string out = "\"";
  for (char c : text) {
    auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (is_control(c) || byte >= 0x80) {
      out += "\\x";
      out += kHexDigits[byte >> 4];
      out += kHexDigits[byte & 0xf];
    } else {
      out += c;
    }
  }
  return out + '"';
}

std::string word_or_quoted(std::string_view text) {
  bool word =
      !text.empty() && std::all_of(text.begin(), text.end(), is_word_byte);
  return word ? std::string(text) : quoted(text);
}

}  // namespace eelgrasspin::lang
