#ifndef EELGRASSPIN_LANG_PARSER_H_
#define EELGRASSPIN_LANG_PARSER_H_

#include <string>
#include <string_view>
#include <vector>

#include "eelgrasspin/command.h"
#include "eelgrasspin/result.h"
#include "lang/lexer.h"

namespace eelgrasspin::lang {

/// Recursive descent over the tokens of one command. What would have been
/// accepted at the first wrong token is collected for the finding and for
/// completion.
class Parser {
 public:
  Parser(std::string_view text, std::string file);

  Checked<Command> run();
  /// After run(): what could stand at the wrong token, keywords as they are and
  /// other things in angle brackets.
  const std::vector<std::string>& expected() const { return expected_; }
  /// After run(): whether the first wrong token is the end of the text.
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
  void closure_of(ServiceName& service);

  const Token& token() const { return tokens_[at_]; }
  void advance();
  /// Takes the keyword if it is next.
  bool keyword(const std::string& word);
  void expect_keyword(const std::string& word);
  /// A word or string, called `what` in findings.
  std::string anything(const std::string& what);
  std::string name(const std::string& what);
  Duration duration();
  std::uint32_t number(const std::string& what);
  void end();
  /// Reports the token and what was expected instead.
  void fail();
  void fail(std::string message, std::string hint);

  std::string file_;
  std::vector<Token> tokens_;
  std::size_t at_ = 0;
  std::vector<std::string> expected_;
  std::vector<Finding> findings_;
};

}  // namespace eelgrasspin::lang

#endif  // EELGRASSPIN_LANG_PARSER_H_
