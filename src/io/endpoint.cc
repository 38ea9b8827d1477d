#include "io/endpoint.h"

#include <limits>

#include "io/http_types.h"

namespace eelgrasspin::io {

using boost::asio::ip::tcp;

std::optional<tcp::endpoint> parse_endpoint(const Endpoint& endpoint) {
  const std::string& text = endpoint.str();
  std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  auto port = parse_number(text.substr(colon + 1));
  if (!port || *port > std::numeric_limits<std::uint16_t>::max()) {
    return std::nullopt;
  }
  boost::system::error_code failed;
  auto address = boost::asio::ip::make_address(host, failed);
  if (failed) return std::nullopt;
  return tcp::endpoint(address, static_cast<std::uint16_t>(*port));
}

Endpoint to_endpoint(const tcp::endpoint& endpoint) {
  std::string host = endpoint.address().to_string();
  if (endpoint.address().is_v6()) host = "[" + host + "]";
  return Endpoint(host + ":" + std::to_string(endpoint.port()));
}

std::string ip_address_of(const Endpoint& endpoint) {
  return endpoint.str().substr(0, endpoint.str().rfind(':'));
}

}  // namespace eelgrasspin::io
