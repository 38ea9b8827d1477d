#ifndef EELGRASSPIN_IO_BACKEND_CONTROL_HTTP_H_
#define EELGRASSPIN_IO_BACKEND_CONTROL_HTTP_H_

#include <map>
#include <memory>

#include "eelgrasspin/backend_server_control.h"
#include "io/http_client.h"

namespace eelgrasspin::io {

/// Sends grant orders over HTTP: POST /-/grant to the server's own port. Keeps
/// one client per server.
class BackendControlHttp : public BackendServerControl {
 public:
  explicit BackendControlHttp(boost::asio::io_context& io) : io_(io) {}

  void order(const ServerName& server, const Endpoint& address,
             const GrantOrder& order, Callback done) override;

 private:
  HttpClient& client(const ServerName& server, const Endpoint& address);

  boost::asio::io_context& io_;
  std::map<ServerName, std::unique_ptr<HttpClient>> clients_;
};

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_BACKEND_CONTROL_HTTP_H_
