#include "core/request/operations.h"

#include <utility>

namespace eelgrasspin::core::request {
namespace {

constexpr std::string_view kKeySegment = "{key}";

template <class Visit>
bool for_each_segment(std::string_view path, Visit visit) {
  if (!path.starts_with('/')) return false;
  path.remove_prefix(1);
  while (true) {
    std::size_t slash = path.find('/');
    if (!visit(path.substr(0, slash))) return false;
    if (slash == std::string_view::npos) return true;
    path.remove_prefix(slash + 1);
  }
}

int hex_digit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

bool is_control(char c) {
  auto byte = static_cast<unsigned char>(c);
  return byte < 0x20 || byte == 0x7f;
}

std::optional<std::string> decode_key(std::string_view segment) {
  std::string text;
  text.reserve(segment.size());
  for (std::size_t i = 0; i < segment.size(); ++i) {
    char c = segment[i];
    if (c == '%') {
      if (i + 2 >= segment.size()) return std::nullopt;
      int high = hex_digit(segment[i + 1]);
      int low = hex_digit(segment[i + 2]);
      if (high < 0 || low < 0) return std::nullopt;
      c = static_cast<char>(high * 16 + low);
      i += 2;
    }
    if (is_control(c)) return std::nullopt;
    text.push_back(c);
  }
  if (text.empty() || text == "." || text == "..") return std::nullopt;
  return text;
}

bool is_wildcard(std::string_view segment) {
  return segment.starts_with('{') && segment.ends_with('}');
}

std::optional<Key> match_path(const OperationPattern& operation,
                              std::string_view path) {
  std::size_t next = 0;
  std::string_view key_text;
  bool matches = for_each_segment(path, [&](std::string_view segment) {
    if (next == operation.segments.size()) return false;
    const std::string& expected = operation.segments[next++];
    if (expected == kKeySegment) key_text = segment;
    return is_wildcard(expected) ? !segment.empty() : expected == segment;
  });
  if (!matches || next != operation.segments.size()) return std::nullopt;
  if (key_text.empty()) return Key();
  std::optional<std::string> key = decode_key(key_text);
  if (!key) return std::nullopt;
  return Key(std::move(*key));
}

}  // namespace

OperationPattern compile_operation(const Operation& operation) {
  OperationPattern pattern{
      operation.name, operation.method, operation.execution_class, {}};
  for_each_segment(operation.path, [&](std::string_view segment) {
    pattern.segments.emplace_back(segment);
    return true;
  });
  return pattern;
}

std::optional<MatchedOperation> match_operation(
    const std::vector<OperationPattern>& operations, std::string_view method,
    std::string_view path) {
  path = path.substr(0, path.find('?'));
  for (const OperationPattern& operation : operations) {
    if (operation.method != method) continue;
    std::optional<Key> key = match_path(operation, path);
    if (key) return MatchedOperation{&operation, std::move(*key)};
  }
  return std::nullopt;
}

}  // namespace eelgrasspin::core::request
