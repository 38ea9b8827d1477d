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

/// What a backend server accepts, from its declaration.
struct ServerLimits {
  std::size_t connections = 16;  ///< This daemon's share.
  Duration connection_interval = milliseconds(1);
  Duration execution_limit = seconds(1);
};

/// Requests to backend servers over kept HTTP/1.1 connections, within each
/// server's connection limits.
class BackendCallsHttp : public BackendCalls {
 public:
  /// `run_name` makes the ids in the eelgrasspin-request field differ between
  /// daemons and runs.
  BackendCallsHttp(boost::asio::io_context& io, std::string run_name);
  ~BackendCallsHttp() override;

  void run(AttemptId attempt, const Endpoint& server,
           const OutboundRequest& request, AttemptCallback done) override;
  void cancel(AttemptId attempt) override;

  void set_limits(const Endpoint& server, const ServerLimits& limits);
  /// Connections now open to a server, idle ones included.
  std::size_t connections(const Endpoint& server) const;

  class Pool;
  struct Call;

 private:
  Pool& pool(const Endpoint& server);

  boost::asio::io_context& io_;
  std::string run_name_;
  std::map<Endpoint, std::shared_ptr<Pool>> pools_;
  std::map<AttemptId, std::weak_ptr<Call>> calls_;
};

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_BACKEND_CALLS_HTTP_H_
