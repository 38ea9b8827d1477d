#ifndef EELGRASSPIN_IO_STORE_FEED_H_
#define EELGRASSPIN_IO_STORE_FEED_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "fleet/event.h"
#include "fleet/settings.h"
#include "io/fleet_ports.h"

namespace eelgrasspin::io {

/// Keeps this daemon's view of the store up to date: lists each kind once, then
/// watches it while told to, and lists it again when the history is gone.
/// Writes this system's own records.
class StoreFeed {
 public:
  using Sink = std::function<void(const fleet::Event&)>;

  StoreFeed(boost::asio::io_context& io, FleetStore& store,
            const fleet::Settings& settings, Sink sink);

  void start();
  /// Goes on or stops watching, from where this daemon's copies have got to.
  void set_watch(const fleet::WatchStore& watch);
  /// Asks once for the changes of one part.
  void catch_up(const fleet::CatchUp& request);
  void write_map(const fleet::WriteMap& write);
  void read_map(const ServiceName& service);

 private:
  struct Kind {
    explicit Kind(boost::asio::io_context& io) : timer(io) {}
    boost::asio::steady_timer timer;
    Version as_of;
    std::vector<StoredObject> listed;
    std::uint32_t failures = 0;
    bool busy = false;  ///< A call or a pause is under way.
  };

  Kind& kind(ObjectKind name);
  void list(ObjectKind name, const std::string& after);
  void on_page(ObjectKind name, PageResult result);
  void finish_list(ObjectKind name);
  /// Daemons that start together register while others list already.
  void list_daemons_again();
  void watch(ObjectKind name, Duration wait);
  /// Watches again unless another daemon does so for this one.
  void go_on(ObjectKind name);
  void on_events(ObjectKind name, PageResult result);
  void retry(ObjectKind name, const StoreFailure& failure, bool relist);
  fleet::StoreUpdate update_of(ObjectKind name, const ObjectPage& page);
  void emit(const StoredObject& object);
  void emit_record(const StoredObject& object, const RecordText& record);
  void emit_change(const ServiceName& service, const ChangeResult& result);
  void register_daemon();
  void renew_registration(const StoredObject& current);

  boost::asio::io_context& io_;
  FleetStore& store_;
  fleet::Settings settings_;
  Sink sink_;
  std::map<ObjectKind, std::unique_ptr<Kind>> kinds_;
  boost::asio::steady_timer registration_;
  boost::asio::steady_timer relist_;
  bool watching_ = true;
  Duration watch_wait_ = fleet::config::kWatchWait;
};

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_STORE_FEED_H_
