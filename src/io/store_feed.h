#ifndef EELGRASSPIN_IO_STORE_FEED_H_
#define EELGRASSPIN_IO_STORE_FEED_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/event.h"
#include "fleet/settings.h"
#include "io/fleet_ports.h"

namespace eelgrasspin::io {

/// Keeps this daemon's view of the store up to date: lists each kind of objects
/// once, then watches it while watching is enabled, and lists it again if the
/// store no longer has the history or has been restored from an older copy.
/// Writes this system's own records.
class StoreFeed {
 public:
  using EventSink = std::function<void(const fleet::Event&)>;

  StoreFeed(boost::asio::io_context& io, FleetStore& store,
            const fleet::Settings& settings, EventSink sink);

  void start();
  /// Enables or disables watching. It continues from the revisions up to which
  /// this daemon's copies are complete.
  void set_watch(const fleet::WatchStore& watch);
  /// Asks the store once for the changes of one kind.
  void catch_up(const fleet::CatchUp& request);
  /// Lists everything again, and registers this daemon again. Calls in progress
  /// end without effect.
  void read_again();
  void write_map(const fleet::WriteMap& write);
  void read_map(const fleet::ReadMap& read);
  void read_quarantine_record();
  void write_quarantine_record(const fleet::WriteQuarantineRecord& write);

 private:
  struct KindState {
    explicit KindState(boost::asio::io_context& io) : timer(io) {}
    boost::asio::steady_timer timer;
    fleet::StorePosition as_of;
    std::uint64_t call = 0;  ///< Answers to earlier calls are ignored.
    std::vector<StoredObject> listed;  ///< Pages of the list in progress.
    std::uint32_t failures = 0;        ///< Consecutive failed calls.
    bool busy = false;  ///< A call or the pause before one is in progress.
    /// The call is a watch that the store answers once there is a change.
    bool waits_for_change = false;
    /// The next watch may be answered later than usual: the last one was
    /// overdue.
    bool slow = false;
  };

  KindState& state_of(ObjectKind kind);
  /// Kinds that are watched for changes.
  std::vector<ObjectKind> watched_kinds() const;
  void list(ObjectKind kind, const std::string& after);
  void on_page(ObjectKind kind, std::uint64_t call, PageResult result);
  void finish_list(ObjectKind kind);
  /// Lists the records once more: daemons that start together may register
  /// after this one has listed.
  void schedule_relist();
  void watch(ObjectKind kind, Duration wait);
  /// Watches again, unless another daemon watches on behalf of this one.
  void continue_watching(ObjectKind kind);
  void on_changes(ObjectKind kind, std::uint64_t call, PageResult result);
  StoreEra era() const { return era_.value_or(StoreEra()); }
  /// Takes note of the era that an answer states. False if the answer belongs
  /// to an earlier era than the last one, and so to a history that is lost.
  bool accept_era(const std::optional<StoreEra>& stated);
  void retry(ObjectKind kind, const StoreFailure& failure, bool relist);
  fleet::StoreUpdate store_update_of(ObjectKind kind, const ObjectPage& page);
  /// `sent_at` is when the read of a map was sent; 0 for lists.
  void emit(const StoredObject& object, TimePoint sent_at = {});
  void emit_record(const StoredObject& object, const RecordText& record,
                   TimePoint sent_at);
  void emit_write_result(const ServiceName& service, std::uint64_t number,
                         const ChangeResult& result);
  void register_daemon();
  void renew_registration(const StoredObject& current);

  boost::asio::io_context& io_;
  FleetStore& store_;
  fleet::Settings settings_;
  EventSink sink_;
  std::map<ObjectKind, std::unique_ptr<KindState>> states_;
  std::optional<StoreEra> era_;  ///< The latest that the store has stated.
  boost::asio::steady_timer registration_timer_;
  boost::asio::steady_timer relist_timer_;
  bool watching_ = true;
  Duration watch_wait_ = fleet::config::kWatchWait;
};

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_STORE_FEED_H_
