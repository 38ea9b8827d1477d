#include "lang/parser.h"

#include <charconv>

#include "lang/lang.h"
#include "lang/names.h"
#include "lang/words.h"

namespace eelgrasspin::lang {
namespace {

constexpr std::size_t kMaxCommandBytes = 4096;

template <class T>
bool parse_whole(const std::string& text, T& out, int base = 10) {
  const char* end = text.data() + text.size();
  auto [rest, code] = std::from_chars(text.data(), end, out, base);
  return code == std::errc() && rest == end;
}

std::string describe(const Token& token) {
  switch (token.kind) {
    case TokenKind::kEnd:
      return "the end";
    case TokenKind::kInvalid:
      return token.text;
    case TokenKind::kString:
      return quoted(token.text);
    default:
      return token.text;
  }
}

/// "A, B or C".
std::string alternatives(const std::vector<std::string>& words) {
  std::string text;
  for (std::size_t i = 0; i < words.size(); ++i) {
    if (i > 0) text += i + 1 == words.size() ? " or " : ", ";
    text += words[i];
  }
  return text;
}

/// The expected keywords, without placeholders.
std::vector<std::string> keywords_of(const std::vector<std::string>& expected) {
  std::vector<std::string> words;
  for (const std::string& word : expected) {
    if (!word.starts_with('<')) words.push_back(word);
  }
  return words;
}

}  // namespace

Parser::Parser(std::string_view text, std::string file)
    : file_(std::move(file)),
      tokens_(tokenize(text.substr(0, kMaxCommandBytes))) {
  if (text.size() <= kMaxCommandBytes) return;
  fail("command of " + std::to_string(text.size()) + " bytes",
       "at most " + std::to_string(kMaxCommandBytes));
}

Checked<Command> Parser::run() {
  if (!findings_.empty()) return findings_;
  Command read = command();
  expect_end();
  if (!findings_.empty()) return findings_;
  return read;
}

bool Parser::failed_at_end() const {
  return !findings_.empty() && token().kind == TokenKind::kEnd;
}

Command Parser::command() {
  if (accept_keyword("show")) return show();
  if (accept_keyword("owner")) return owner();
  if (accept_keyword("move")) return move();
  if (accept_keyword("drain")) return drain();
  if (accept_keyword("undrain")) {
    expect_keyword("server");
    return UndrainCommand{ServerName(name("<server>"))};
  }
  if (accept_keyword("close")) return close();
  if (accept_keyword("cancel")) {
    CancelClosureCommand cancel;
    closure_service(cancel.service);
    return cancel;
  }
  if (accept_keyword("report")) {
    ReportCommand report;
    closure_service(report.service);
    return report;
  }
  if (accept_keyword("stop")) {
    expect_keyword("daemon");
    return StopDaemonCommand{DaemonName(name("<daemon>"))};
  }
  if (accept_keyword("fence")) return fence();
  if (accept_keyword("release")) return release();
  fail();
  return {};
}

Command Parser::show() {
  ShowCommand show;
  if (accept_keyword("closure")) {
    return ShowClosureCommand{ServiceName(name("<service>"))};
  }
  bool found = false;
  for (const std::string& word : subject_words()) {
    if (found || !accept_keyword(word)) continue;
    show.subject = *subject_of(word);
    found = true;
  }
  if (!found) fail();
  if (accept_keyword("where")) conditions(show.conditions);
  if (accept_keyword("since")) show.since = duration();
  if (accept_keyword("limit")) show.limit = number("<count>");
  return show;
}

void Parser::conditions(std::vector<Condition>& out) {
  do {
    Condition condition;
    condition.column = name("<column>");
    auto comparison = token().kind == TokenKind::kOperator
                          ? comparison_of(token().text)
                          : std::nullopt;
    if (!comparison) {
      expected_ = {"=", "!=", "<", "<=", ">", ">="};
      return fail();
    }
    condition.comparison = *comparison;
    advance();
    condition.value = word_or_string("<value>");
    out.push_back(std::move(condition));
  } while (findings_.empty() && accept_keyword("and"));
}

Command Parser::owner() {
  OwnerCommand owner;
  expect_keyword("of");
  owner.service = ServiceName(name("<service>"));
  owner.key = Key(word_or_string("<key>"));
  return owner;
}

Command Parser::move() {
  MoveCommand move;
  move.service = ServiceName(name("<service>"));
  bool whole_slot = accept_keyword("slot");
  if (whole_slot) {
    move.slot = SlotId(number("<slot number>"));
  } else {
    expect_keyword("key");
    move.key = Key(word_or_string("<key>"));
    if (findings_.empty() && move.key.empty()) {
      --position_;
      fail("an empty key", "<key>");
    }
  }
  expect_keyword("to");
  if (whole_slot && accept_keyword("zone")) {
    move.zone = ZoneName(name("<zone>"));
  } else {
    move.server = ServerName(name("<server>"));
  }
  return move;
}

Command Parser::drain() {
  DrainCommand drain;
  expect_keyword("server");
  drain.server = ServerName(name("<server>"));
  if (accept_keyword("within")) drain.within = duration();
  return drain;
}

Command Parser::close() {
  CloseCommand close;
  expect_keyword("service");
  close.service = ServiceName(name("<service>"));
  if (accept_keyword("deadline")) close.deadline = duration();
  expect_keyword("reason");
  close.reason = word_or_string("<text>");
  return close;
}

Command Parser::fence() {
  FenceCommand fence;
  if (accept_keyword("zone")) {
    fence.zone = ZoneName(name("<zone>"));
  } else {
    expect_keyword("daemon");
    fence.daemon = DaemonName(name("<daemon>"));
  }
  return fence;
}

Command Parser::release() {
  ReleaseCommand release;
  expect_keyword("quarantined");
  std::string text = word_or_string("<fingerprint>");
  if (!findings_.empty()) return release;
  constexpr int kHexadecimal = 16;
  if (!parse_whole(text, release.fingerprint, kHexadecimal)) {
    --position_;
    fail("expected <fingerprint>, found " + text, "up to 16 hex digits");
  }
  return release;
}

void Parser::closure_service(ServiceName& service) {
  expect_keyword("closure");
  service = ServiceName(name("<service>"));
}

void Parser::advance() {
  ++position_;
  expected_.clear();
}

bool Parser::accept_keyword(const std::string& word) {
  if (!findings_.empty()) return false;
  if (token().kind == TokenKind::kWord && token().text == word) {
    advance();
    return true;
  }
  expected_.push_back(word);
  return false;
}

void Parser::expect_keyword(const std::string& word) {
  if (!accept_keyword(word)) fail();
}

std::string Parser::word_or_string(const std::string& placeholder) {
  if (!findings_.empty()) return {};
  const Token& found = token();
  if (found.kind != TokenKind::kWord && found.kind != TokenKind::kString) {
    expected_.push_back(placeholder);
    fail();
    return {};
  }
  std::string text = found.text;
  advance();
  return text;
}

std::string Parser::name(const std::string& placeholder) {
  if (!findings_.empty()) return {};
  bool named =
      token().kind == TokenKind::kWord || token().kind == TokenKind::kString;
  if (!named || !is_name(token().text)) {
    expected_.push_back(placeholder);
    fail();
    return {};
  }
  return word_or_string(placeholder);
}

Duration Parser::duration() {
  if (!findings_.empty()) return Duration(0);
  auto read = parse_duration(token().text);
  if (token().kind != TokenKind::kWord || !ok(read)) {
    expected_.push_back("<duration>");
    fail();
    return Duration(0);
  }
  advance();
  return value(read);
}

std::uint32_t Parser::number(const std::string& placeholder) {
  std::uint32_t read = 0;
  if (!findings_.empty()) return read;
  if (token().kind != TokenKind::kWord || !parse_whole(token().text, read)) {
    expected_.push_back(placeholder);
    fail();
    return 0;
  }
  advance();
  return read;
}

void Parser::expect_end() {
  if (!findings_.empty()) return;
  if (token().kind == TokenKind::kEnd) return;
  expected_.push_back("the end");
  fail();
}

void Parser::fail() {
  if (!findings_.empty()) return;
  std::string suggestion;
  if (token().kind == TokenKind::kWord) {
    suggestion = nearest(token().text, keywords_of(expected_));
  }
  fail("expected " + alternatives(expected_) + ", found " + describe(token()),
       suggestion.empty() ? "" : "did you mean " + suggestion + "?");
}

void Parser::fail(std::string message, std::string hint) {
  if (!findings_.empty()) return;
  findings_.push_back(
      {file_, 1, token().column, std::move(message), std::move(hint)});
}

}  // namespace eelgrasspin::lang
