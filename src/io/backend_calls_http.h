#ifndef EELGRASSPIN_IO_BACKEND_CALLS_HTTP_H_
#define EELGRASSPIN_IO_BACKEND_CALLS_HTTP_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <string>

#include "eelgrasspin/transport.h"
#include "eelgrasspin/units.h"

namespace eelgrasspin::io {

/// Limits of one backend server, from its declaration.
struct ServerLimits {
  std::size_t connections = 16;  ///< Share of this daemon.
  /// Least time between two new connections.
  Duration connection_interval = milliseconds(1);
  /// Longest time that the server works on a request.
  Duration execution_limit = seconds(1);
};

/// Sends requests to backend servers over persistent HTTP/1.1 connections,
/// within each server's connection limits.
class BackendCallsHttp : public BackendCalls {
 public:
  /// `id_prefix` starts every id in the eelgrasspin-request field. It must
  /// differ between daemons and between incarnations of one daemon.
  BackendCallsHttp(boost::asio::io_context& io, std::string id_prefix);
  ~BackendCallsHttp() override;

  void run(AttemptId attempt, const Endpoint& server,
           const OutboundRequest& request, AttemptCallback done) override;
  void cancel(AttemptId attempt) override;

  void set_limits(const Endpoint& server, const ServerLimits& limits);
  /// Number of open connections to a server, idle ones included.
  std::size_t connections(const Endpoint& server) const;

  class Pool;
  struct Call;

 private:
  Pool& pool(const Endpoint& server);

  boost::asio::io_context& io_;
  std::string id_prefix_;
  std::map<Endpoint, std::shared_ptr<Pool>> pools_;
  std::map<AttemptId, std::weak_ptr<Call>> calls_;
};

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_BACKEND_CALLS_HTTP_H_
