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
             tokens.back().kind != TokenKind::kBad);
    return tokens;
  }

 private:
  Token next() {
    while (at_ < text_.size() && is_space(text_[at_])) ++at_;
    start_ = at_;
    if (at_ == text_.size()) return token(TokenKind::kEnd, "");
    if (text_[at_] == '"') return string();
    if (is_operator_byte(text_[at_])) return comparison();
    if (!is_word_byte(text_[at_])) {
      return token(TokenKind::kBad, "a byte that is not printable ASCII");
    }
    while (at_ < text_.size() && is_word_byte(text_[at_])) ++at_;
    return token(TokenKind::kWord, text_.substr(start_, at_ - start_));
  }

  Token comparison() {
    char first = text_[at_++];
    bool longer = first != '=' && at_ < text_.size() && text_[at_] == '=';
    if (longer) ++at_;
    if (first == '!' && !longer) return token(TokenKind::kBad, "a lone '!'");
    return token(TokenKind::kOperator, text_.substr(start_, at_ - start_));
  }

  Token string() {
    std::string content;
    ++at_;
    while (at_ < text_.size()) {
      char c = text_[at_++];
      if (c == '"') return token(TokenKind::kString, content);
      if (c == '\\') {
        if (!escape(content)) {
          start_ = at_;
          return token(TokenKind::kBad, "an unknown escape");
        }
      } else {
        content += c;
      }
    }
    return token(TokenKind::kBad, "a string without its closing quote");
  }

  /// Reads what follows a backslash.
  bool escape(std::string& content) {
    if (at_ == text_.size()) return false;
    char c = text_[at_];
    if (c == '"' || c == '\\') {
      content += c;
      ++at_;
      return true;
    }
    if (c != 'x' || text_.size() - at_ < 3) return false;
    unsigned byte = 0;
    const char* digits = text_.data() + at_ + 1;
    auto [end, code] = std::from_chars(digits, digits + 2, byte, 16);
    if (code != std::errc() || end != digits + 2) return false;
    content += static_cast<char>(byte);
    at_ += 3;
    return true;
  }

  Token token(TokenKind kind, std::string_view text) const {
    return {kind, std::string(text), static_cast<int>(start_) + 1};
  }

  std::string_view text_;
  std::size_t at_ = 0;
  std::size_t start_ = 0;
};

}  // namespace

std::vector<Token> tokens_of(std::string_view text) {
  return Lexer(text).run();
}

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
