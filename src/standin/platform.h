#ifndef EELGRASSPIN_STANDIN_PLATFORM_H_
#define EELGRASSPIN_STANDIN_PLATFORM_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "eelgrasspin/ids.h"
#include "eelgrasspin/result.h"
#include "eelgrasspin/units.h"
#include "eelgrasspin/vm_list.h"
#include "io/http_server.h"

/// Small stand-ins for the platform and for backend servers, for tests and
/// demos.
namespace eelgrasspin::standin {

/// Calls received, by kind.
struct PlatformStats {
  std::uint64_t reads = 0;
  std::uint64_t lists = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  std::uint64_t vm_lists = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t limited = 0;
};

enum class Outage : std::uint8_t {
  kNone,
  kRefusing,  ///< Answers 503.
  kSilent,    ///< Never answers.
};

/// The platform: an object store in memory with versions, conditional updates
/// and watches, and a list of VMs that lags. Protocol: docs/design/platform.md.
class Platform {
 public:
  explicit Platform(boost::asio::io_context& io);
  ~Platform();

  std::optional<Error> listen(const Endpoint& endpoint);
  Endpoint bound_endpoint() const { return server_.bound_endpoint(); }
  const PlatformStats& stats() const { return stats_; }

  void set_outage(Outage outage) { outage_ = outage; }
  /// The next writes take effect, but their answers are lost.
  void lose_answers(std::uint32_t count) { answers_to_lose_ = count; }
  void set_delay(Duration delay) { delay_ = delay; }
  /// Calls a second above which reads and lists, or writes, are refused; 0: no
  /// limit.
  void set_rate_limits(std::uint32_t reads, std::uint32_t writes);
  /// Shown in the list after the lag.
  void set_vm(const std::string& name, VmState state);
  void set_vm_lag(Duration lag) { vm_lag_ = lag; }
  /// One control line; the error says what is wrong with it.
  std::optional<Error> apply_control_line(const std::string& line);

 private:
  using Exchange = std::shared_ptr<io::HttpExchange>;
  struct Value {
    std::uint64_t version = 0;
    std::string text;  ///< Empty: deleted.
  };
  struct Watch {
    std::string prefix;
    std::uint64_t since = 0;
    Exchange exchange;
    std::shared_ptr<boost::asio::steady_timer> limit;
  };
  struct RateWindow {
    TimePoint start;
    std::uint32_t count = 0;
    std::uint32_t limit = 0;
  };

  void handle(const Exchange& exchange);
  void handle_store_call(const Exchange& exchange);
  void handle_read(const Exchange& exchange, const std::string& key);
  void handle_write(const Exchange& exchange, const std::string& key);
  void handle_list(const Exchange& exchange);
  void handle_watch(const Exchange& exchange);
  void handle_vms(const Exchange& exchange);
  void handle_control(const Exchange& exchange);
  void handle_set_vms(const Exchange& exchange);
  void answer(const Exchange& exchange, io::HttpResponse answer);
  void notify(const std::string& key);
  bool within_rate(RateWindow& window);
  io::HttpResponse list_answer(const std::string& prefix, std::uint64_t since,
                               bool with_deleted) const;

  boost::asio::io_context& io_;
  std::map<std::string, Value> values_;
  std::uint64_t revision_ = 0;
  std::list<Watch> watches_;
  std::map<std::string, VmState> vms_;
  Duration vm_lag_{0};
  PlatformStats stats_;
  Outage outage_ = Outage::kNone;
  std::uint32_t answers_to_lose_ = 0;
  Duration delay_{0};
  RateWindow read_rate_;
  RateWindow write_rate_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  io::HttpServer server_;
};

}  // namespace eelgrasspin::standin

#endif  // EELGRASSPIN_STANDIN_PLATFORM_H_
