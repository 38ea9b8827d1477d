#ifndef EELGRASSPIN_IO_ENDPOINT_H_
#define EELGRASSPIN_IO_ENDPOINT_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>

#include "eelgrasspin/ids.h"

namespace eelgrasspin::io {

/// Empty if the text is not an IP address with a port.
std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(
    const Endpoint& endpoint);
Endpoint to_endpoint(const boost::asio::ip::tcp::endpoint& endpoint);
/// The IP address without the port.
std::string ip_address_of(const Endpoint& endpoint);

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_ENDPOINT_H_
