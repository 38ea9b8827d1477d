#ifndef EELGRASSPIN_LANG_PARSER_H_
#define EELGRASSPIN_LANG_PARSER_H_

#include <string>
#include <string_view>
#include <vector>

#include "eelgrasspin/command.h"
#include "eelgrasspin/result.h"
#include "lang/lexer.h"

namespace eelgrasspin::lang {

/// Recursive descent parser for one command. Collects what would have been
/// valid at the first invalid token, for the finding and for completion.
class Parser {
 public:
  Parser(std::string_view text, std::string file);

  Checked<Command> run();
  /// After run(): what would have been valid at the first invalid token:
  /// keywords, and placeholders such as "<service>".
  const std::vector<std::string>& expected() const { return expected_; }
  /// After run(): whether the first invalid token is the end of the text.
  bool failed_at_end() const;

 private:
  Command command();
  Command show();
  Command owner();
  Command move();
  Command drain();
  Command close();
  Command fence();
  Command release();

  void conditions(std::vector<Condition>& out);
  void closure_service(ServiceName& service);

  const Token& token() const { return tokens_[position_]; }
  void advance();
  /// Consumes the next token if it is the keyword.
  bool accept_keyword(const std::string& word);
  void expect_keyword(const std::string& word);
  /// Reads a word or string; `placeholder` is its name in findings.
  std::string word_or_string(const std::string& placeholder);
  std::string name(const std::string& placeholder);
  Duration duration();
  std::uint32_t number(const std::string& placeholder);
  void expect_end();
  /// Reports the current token and what was expected instead.
  void fail();
  void fail(std::string message, std::string hint);

  std::string file_;
  std::vector<Token> tokens_;
  std::size_t position_ = 0;
  std::vector<std::string> expected_;
  std::vector<Finding> findings_;
};

}  // namespace eelgrasspin::lang

#endif  // EELGRASSPIN_LANG_PARSER_H_
