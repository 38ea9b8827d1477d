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

/// Stand-ins for the platform and for backend servers, for tests and demos.
namespace eelgrasspin::standin {

/// Counts of calls.
struct PlatformStats {
  std::uint64_t reads = 0;
  std::uint64_t lists = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  std::uint64_t vm_lists = 0;
  std::uint64_t conflicts = 0;  ///< Writes refused for their version.
  std::uint64_t limited = 0;    ///< Calls refused for the rate limits.
};

enum class Outage : std::uint8_t {
  kNone,
  kRefusing,  ///< Answers 503.
  kSilent,    ///< Never answers.
};

/// The platform: an in-memory object store with versions, conditional writes
/// and watches, and a VM list that is updated late. Protocol:
/// docs/design/platform.md.
class Platform {
 public:
  explicit Platform(boost::asio::io_context& io);
  ~Platform();

  std::optional<Error> listen(const Endpoint& endpoint);
  Endpoint bound_endpoint() const { return server_.bound_endpoint(); }
  const PlatformStats& stats() const { return stats_; }

  void set_outage(Outage outage) { outage_ = outage; }
  /// Makes the next `count` writes, but aborts them without an answer.
  void lose_answers(std::uint32_t count) { answers_to_lose_ = count; }
  /// Delays answers of the store and the VM list.
  void set_delay(Duration delay) { delay_ = delay; }
  /// Refuses calls above these numbers per second; `reads` covers lists and
  /// watches too. 0: no limit.
  void set_rate_limits(std::uint32_t reads, std::uint32_t writes);
  /// The VM list shows the state after the lag.
  void set_vm(const std::string& name, VmState state);
  void set_vm_lag(Duration lag) { vm_lag_ = lag; }
  /// Applies one line of a /-/control request. Returns an error if it is
  /// unknown.
  std::optional<Error> apply_control_line(const std::string& line);

 private:
  using Exchange = std::shared_ptr<io::HttpExchange>;
  struct Value {
    std::uint64_t version = 0;
    std::string text;  ///< Empty: absent or deleted.
  };
  /// A watch that waits for a change or its timeout.
  struct Watch {
    std::string prefix;
    std::uint64_t since = 0;
    Exchange exchange;
    std::shared_ptr<boost::asio::steady_timer> timeout;
  };
  /// Calls within the current second.
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
  void notify_watches(const std::string& key);
  bool is_within_rate(RateWindow& window);
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
  /// Expires with this object; checked by handlers of timers.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  io::HttpServer server_;
};

}  // namespace eelgrasspin::standin

#endif  // EELGRASSPIN_STANDIN_PLATFORM_H_
