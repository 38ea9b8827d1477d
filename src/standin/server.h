#ifndef EELGRASSPIN_STANDIN_SERVER_H_
#define EELGRASSPIN_STANDIN_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "eelgrasspin/ids.h"
#include "eelgrasspin/result.h"
#include "eelgrasspin/units.h"
#include "io/http_server.h"
#include "standin/grants.h"

namespace eelgrasspin::standin {

struct ServerOptions {
  ServerName name;
  std::uint32_t concurrency = 2;
  /// Requests that wait for one to end; more are shed.
  std::uint32_t queue_limit = 16;
  Duration cold_start{0};  ///< After the start, while requests take longer.
  Duration service_time = milliseconds(5);  ///< Of each request.
  Duration execution_limit = seconds(1);    ///< Longer requests are aborted.
  bool checks_grants = true;
  bool crashable = false;  ///< A path with "/crash" ends the process.
  /// File that gets the path of each request as it starts, so that executions
  /// can be counted after a crash. Empty: none.
  std::string execution_log_path;
  /// Called to end the process; tests pass their own.
  std::function<void()> crash;
};

/// One request that this server ran.
struct Execution {
  std::string request;
  std::string idempotency_key;
  std::string key;
  std::string method;
  std::string path;
  SlotId slot;
  Epoch epoch;
  WallTime started;
  std::optional<WallTime> ended;
  bool aborted = false;
};

/// A backend server that checks grants, limits its concurrency, and logs what
/// it ran.
class BackendServer {
 public:
  BackendServer(boost::asio::io_context& io, ServerOptions options);
  ~BackendServer();

  std::optional<Error> listen(const Endpoint& endpoint);
  Endpoint bound_endpoint() const { return server_.bound_endpoint(); }
  const std::vector<Execution>& executions() const { return executions_; }
  /// The highest number of requests that ran at the same time.
  std::uint32_t most_running() const { return most_running_; }
  std::size_t connections() const { return server_.connections(); }

  void set_service_time(Duration service_time) {
    options_.service_time = service_time;
  }
  /// Refuses all requests as shed.
  void set_shedding(bool on) { shedding_ = on; }
  /// Sends answers with less of the body than announced.
  void set_truncating(bool on) { truncating_ = on; }
  /// Existing connections stop answering; new ones work.
  void stall_connections() { server_.stall_connections(); }
  /// Stops accepting and closes every connection.
  void close() { server_.close(); }
  /// Applies one line of a /-/control request. Returns an error if it is
  /// unknown.
  std::optional<Error> apply_control_line(const std::string& line);

 private:
  using Exchange = std::shared_ptr<io::HttpExchange>;
  struct Job;

  void handle(const Exchange& exchange);
  void handle_grant(const Exchange& exchange);
  void handle_control(const Exchange& exchange);
  void handle_request(const Exchange& exchange);
  void start_waiting_jobs();
  void start(const std::shared_ptr<Job>& job);
  void finish(const std::shared_ptr<Job>& job);
  void abandon(const std::shared_ptr<Job>& job);
  void answer(const Job& job);
  void shed(const Exchange& exchange);
  Duration current_service_time() const;
  std::string log_text() const;

  boost::asio::io_context& io_;
  ServerOptions options_;
  TimePoint started_;
  Grants grants_;
  std::deque<std::shared_ptr<Job>> waiting_;
  std::set<std::shared_ptr<Job>> running_;
  std::vector<Execution> executions_;
  std::ofstream log_;
  std::uint32_t most_running_ = 0;
  bool shedding_ = false;
  bool truncating_ = false;
  io::HttpServer server_;
};

}  // namespace eelgrasspin::standin

#endif  // EELGRASSPIN_STANDIN_SERVER_H_
