#include "io/http_types.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace eelgrasspin::io {
namespace {

constexpr std::string_view kOwnPrefix = "eelgrasspin-";
constexpr std::array<std::string_view, 9> kHopByHop = {
    "connection", "keep-alive",        "proxy-authenticate",
    "te",         "trailer",           "proxy-authorization",
    "upgrade",    "transfer-encoding", "proxy-connection"};

char lower(char c) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

bool starts_with_ignoring_case(std::string_view text, std::string_view prefix) {
  return text.size() >= prefix.size() &&
         equal_ignoring_case(text.substr(0, prefix.size()), prefix);
}

bool named_by_connection(const HeaderFields& headers, std::string_view name) {
  const std::string* connection = find_header(headers, "connection");
  if (connection == nullptr) return false;
  std::string_view rest = *connection;
  while (!rest.empty()) {
    std::size_t comma = rest.find(',');
    std::string_view item = rest.substr(0, comma);
    while (!item.empty() && item.front() == ' ') item.remove_prefix(1);
    while (!item.empty() && item.back() == ' ') item.remove_suffix(1);
    if (equal_ignoring_case(item, name)) return true;
    if (comma == std::string_view::npos) break;
    rest.remove_prefix(comma + 1);
  }
  return false;
}

int hex_value(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  char l = lower(c);
  if (l >= 'a' && l <= 'f') return l - 'a' + 10;
  return -1;
}

}  // namespace

std::string lower_case(std::string_view text) {
  std::string result(text);
  std::transform(result.begin(), result.end(), result.begin(), lower);
  return result;
}

bool equal_ignoring_case(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char a, char b) { return lower(a) == lower(b); });
}

const std::string* find_header(const HeaderFields& headers,
                               std::string_view name) {
  for (const auto& [field, value] : headers) {
    if (equal_ignoring_case(field, name)) return &value;
  }
  return nullptr;
}

std::size_t count_headers(const HeaderFields& headers, std::string_view name) {
  return static_cast<std::size_t>(
      std::count_if(headers.begin(), headers.end(), [&](const auto& field) {
        return equal_ignoring_case(field.first, name);
      }));
}

bool is_hop_by_hop(std::string_view name) {
  return std::any_of(
      kHopByHop.begin(), kHopByHop.end(),
      [&](std::string_view hop) { return equal_ignoring_case(hop, name); });
}

HeaderFields end_to_end_headers(const HeaderFields& headers) {
  HeaderFields end_to_end;
  for (const auto& [name, value] : headers) {
    if (is_hop_by_hop(name)) continue;
    if (equal_ignoring_case(name, "content-length")) continue;
    if (equal_ignoring_case(name, "expect")) continue;
    if (starts_with_ignoring_case(name, kOwnPrefix)) continue;
    if (named_by_connection(headers, name)) continue;
    end_to_end.emplace_back(name, value);
  }
  return end_to_end;
}

std::optional<std::uint64_t> parse_number(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end || text.empty()) return std::nullopt;
  return number;
}

std::optional<std::uint64_t> number_header(const HeaderFields& headers,
                                           std::string_view name) {
  const std::string* text = find_header(headers, name);
  return text == nullptr ? std::nullopt : parse_number(*text);
}

std::string percent_encode(std::string_view text) {
  static constexpr std::string_view kDigits = "0123456789ABCDEF";
  static constexpr std::string_view kUnreserved = "-._~/";
  std::string encoded;
  encoded.reserve(text.size());
  for (char c : text) {
    auto byte = static_cast<unsigned char>(c);
    if (byte < 0x80 && (std::isalnum(byte) != 0 ||
                        kUnreserved.find(c) != std::string_view::npos)) {
      encoded += c;
      continue;
    }
    encoded += '%';
    encoded += kDigits[byte >> 4];
    encoded += kDigits[byte & 15];
  }
  return encoded;
}

std::string percent_decode(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && hex_value(text[i + 1]) >= 0 &&
        hex_value(text[i + 2]) >= 0) {
      decoded += static_cast<char>(hex_value(text[i + 1]) * 16 +
                                   hex_value(text[i + 2]));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::string query_parameter(std::string_view target, std::string_view name) {
  std::size_t question_mark = target.find('?');
  if (question_mark == std::string_view::npos) return {};
  std::string_view rest = target.substr(question_mark + 1);
  while (!rest.empty()) {
    std::size_t end = rest.find('&');
    std::string_view parameter = rest.substr(0, end);
    std::size_t equals = parameter.find('=');
    if (equals != std::string_view::npos &&
        parameter.substr(0, equals) == name) {
      return percent_decode(parameter.substr(equals + 1));
    }
    if (end == std::string_view::npos) break;
    rest.remove_prefix(end + 1);
  }
  return {};
}

std::string_view path_of(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace eelgrasspin::io
