#ifndef EELGRASSPIN_IO_HTTP_TYPES_H_
#define EELGRASSPIN_IO_HTTP_TYPES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "eelgrasspin/ids.h"
#include "eelgrasspin/units.h"

/// HTTP messages as plain data, and helpers for their fields.
namespace eelgrasspin::io {

using HeaderFields = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
  std::string method;
  std::string target;  ///< Path with query.
  HeaderFields headers;
  std::string body;
  Endpoint remote;  ///< Address of the sender; empty on the client side.
  /// Sent in place of `body` if set, without a copy.
  std::shared_ptr<const std::string> shared_body;
  /// Time that its last bytes waited in the system until the server read them;
  /// 0 where the system does not tell.
  Duration age{0};
};

struct HttpResponse {
  int status = 200;
  HeaderFields headers;
  std::string body;
  bool close = false;  ///< Close the connection after this answer.
};

/// Value of the first field of this name, compared without case; null if there
/// is none.
const std::string* find_header(const HeaderFields& headers,
                               std::string_view name);
std::size_t count_headers(const HeaderFields& headers, std::string_view name);
bool equal_ignoring_case(std::string_view left, std::string_view right);
/// ASCII letters in lower case.
std::string lower_case(std::string_view text);

/// Whether the field concerns a single connection and is not forwarded.
bool is_hop_by_hop(std::string_view name);
/// The fields that are forwarded: all but hop-by-hop fields, fields named by
/// Connection, Content-Length, Expect and this project's own fields.
HeaderFields end_to_end_headers(const HeaderFields& headers);

/// A decimal number without sign or spaces; empty if the text is anything else.
std::optional<std::uint64_t> parse_number(std::string_view text);
/// The named field as a number; empty if it is absent or not a number.
std::optional<std::uint64_t> number_header(const HeaderFields& headers,
                                           std::string_view name);

/// Percent-encodes every byte that is neither unreserved nor '/'.
std::string percent_encode(std::string_view text);
std::string percent_decode(std::string_view text);

/// Value of a query parameter, decoded; empty if absent.
std::string query_parameter(std::string_view target, std::string_view name);
/// The target without its query.
std::string_view path_of(std::string_view target);

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_HTTP_TYPES_H_
