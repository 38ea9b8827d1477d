#include "io/store_feed.h"

#include "codec/fleet_json.h"
#include "io/log.h"

namespace eelgrasspin::io {
namespace {

/// Wait of a watch after a failure, short so that the store's return is
/// detected at once, and of a single watch that brings an outdated copy up to
/// date.
constexpr Duration kProbeWait = milliseconds(50);
/// Time that a watch may take beyond its own wait. It is short so that a dead
/// connection is abandoned while a change can still be received in good time.
constexpr Duration kWatchMargin = milliseconds(800);
/// The same for a store that has answered late, or has not answered in time.
constexpr Duration kSlowWatchMargin = milliseconds(1600);
/// Pause between a change and the next watch: changes in quick succession cost
/// one call, and the departure of a server is still received in good time.
constexpr Duration kWatchPause = milliseconds(200);
/// Delay after a failed call; doubled with each consecutive failure, up to
/// kMaxRetryDelay.
constexpr Duration kFirstRetryDelay = milliseconds(100);
/// Maximum delay after a failed call: well below the two seconds after an
/// outage within which entries that lapsed during it are registered again.
constexpr Duration kMaxRetryDelay = milliseconds(400);
/// Delay before a daemon that could not register tries again.
constexpr Duration kRegistrationRetryDelay = milliseconds(700);

/// Delay after the start before the records are listed again: daemons that were
/// started together have registered by then.
constexpr Duration kDaemonRelistDelay = milliseconds(1500);

constexpr std::string_view kDaemonPrefix = "daemon.";
constexpr std::string_view kMapPrefix = "owners.";
constexpr char kQuarantineRecord[] = "quarantine";

std::string daemon_record_name(const DaemonName& daemon) {
  return std::string(kDaemonPrefix) + daemon.str();
}
std::string map_record_name(const ServiceName& service) {
  return std::string(kMapPrefix) + service.str();
}

std::optional<fleet::StoreView> store_view_of(ObjectKind kind) {
  switch (kind) {
    case ObjectKind::kConfiguration:
      return fleet::StoreView::kConfiguration;
    case ObjectKind::kServers:
      return fleet::StoreView::kServers;
    case ObjectKind::kEvacuations:
      return fleet::StoreView::kEvacuations;
    case ObjectKind::kRecords:
      return std::nullopt;
  }
  return std::nullopt;
}

Duration retry_delay(std::uint32_t failures) {
  Duration delay = kFirstRetryDelay;
  for (std::uint32_t i = 1; i < failures && delay < kMaxRetryDelay; ++i) {
    delay *= 2;
  }
  return std::min(delay, kMaxRetryDelay);
}

fleet::WriteOutcome write_outcome(const ChangeResult& result) {
  using fleet::WriteOutcome;
  const auto* failure = std::get_if<StoreFailure>(&result);
  if (failure == nullptr) return WriteOutcome::kWritten;
  switch (failure->kind) {
    case StoreFailureKind::kConflict:
      return WriteOutcome::kConflict;
    case StoreFailureKind::kRefused:
    case StoreFailureKind::kMissing:
      return WriteOutcome::kWriteRefused;
    case StoreFailureKind::kNoAnswer:
    case StoreFailureKind::kHistoryGone:
      return WriteOutcome::kUnknown;
  }
  return WriteOutcome::kUnknown;
}

const std::optional<StoreEra>& stated_era(const PageResult& result) {
  const auto* page = std::get_if<ObjectPage>(&result);
  return page == nullptr ? std::get<StoreFailure>(result).era : page->era;
}

const std::optional<StoreEra>& stated_era(const ChangeResult& result) {
  const auto* written = std::get_if<RecordWritten>(&result);
  return written == nullptr ? std::get<StoreFailure>(result).era : written->era;
}

const StoreFailure kEarlierEra{StoreFailureKind::kNoAnswer,
                               "answer of an earlier era", std::nullopt};

WallTime wall_now() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::system_clock::now());
}

void log_unreadable(const StoredObject& object, const std::string& why) {
  log_line(LogLevel::kWarning,
           {{"event", "object_unreadable"},
            {"name", object.name},
            {"revision", std::to_string(object.revision.value)},
            {"why", why}});
}

}  // namespace

StoreFeed::StoreFeed(boost::asio::io_context& io, FleetStore& store,
                     const fleet::Settings& settings, EventSink sink)
    : io_(io),
      store_(store),
      settings_(settings),
      sink_(std::move(sink)),
      registration_timer_(io),
      relist_timer_(io) {}

StoreFeed::KindState& StoreFeed::state_of(ObjectKind kind) {
  auto& state = states_[kind];
  if (!state) state = std::make_unique<KindState>(io_);
  return *state;
}

void StoreFeed::start() {
  for (ObjectKind kind : watched_kinds()) list(kind, {});
  list(ObjectKind::kRecords, {});
  register_daemon();
  schedule_relist();
}

std::vector<ObjectKind> StoreFeed::watched_kinds() const {
  std::vector<ObjectKind> kinds = {ObjectKind::kConfiguration,
                                   ObjectKind::kServers};
  if (settings_.evacuation_time) kinds.push_back(ObjectKind::kEvacuations);
  return kinds;
}

bool StoreFeed::accept_era(const std::optional<StoreEra>& stated) {
  if (!stated || stated == era_) return true;
  if (era_ && *stated < *era_) {
    sink_(fleet::EarlierEraAnswered{*stated});
    return false;
  }
  era_ = stated;
  sink_(fleet::StoreEraSeen{*stated});
  return true;
}

void StoreFeed::read_again() {
  for (ObjectKind kind : watched_kinds()) list(kind, {});
  list(ObjectKind::kRecords, {});
  register_daemon();
  schedule_relist();
}

void StoreFeed::schedule_relist() {
  relist_timer_.expires_after(kDaemonRelistDelay);
  relist_timer_.async_wait([this](const boost::system::error_code& failed) {
    if (!failed) list(ObjectKind::kRecords, {});
  });
}

void StoreFeed::list(ObjectKind kind, const std::string& after) {
  KindState& state = state_of(kind);
  if (after.empty()) state.listed.clear();
  state.busy = true;
  state.waits_for_change = false;
  state.timer.cancel();
  store_.list(kind, after,
              [this, kind, call = ++state.call](PageResult result) {
                on_page(kind, call, std::move(result));
              });
}

void StoreFeed::on_page(ObjectKind kind, std::uint64_t call,
                        PageResult result) {
  bool current = accept_era(stated_era(result));
  if (call != state_of(kind).call) return;
  if (!current) return retry(kind, kEarlierEra, true);
  if (const auto* failure = std::get_if<StoreFailure>(&result)) {
    return retry(kind, *failure, true);
  }
  sink_(fleet::StoreAnswered());
  auto& page = std::get<ObjectPage>(result);
  KindState& state = state_of(kind);
  // The watch starts at the revision of the first page, so it also returns
  // changes made between two pages.
  if (state.listed.empty()) state.as_of = {era(), page.as_of};
  std::string last;  // An unreadable object may have no name.
  for (const StoredObject& object : page.objects) {
    if (!object.name.empty()) last = object.name;
  }
  for (StoredObject& object : page.objects) {
    state.listed.push_back(std::move(object));
  }
  if (page.has_more && !last.empty()) return list(kind, last);
  finish_list(kind);
}

void StoreFeed::finish_list(ObjectKind kind) {
  KindState& state = state_of(kind);
  state.failures = 0;
  std::vector<StoredObject> listed = std::move(state.listed);
  state.listed.clear();
  if (kind == ObjectKind::kServers) {
    fleet::ServersListed servers;
    servers.as_of = state.as_of;
    for (const StoredObject& object : listed) {
      if (const auto* server = std::get_if<fleet::Server>(&object.value)) {
        servers.servers.push_back(*server);
      } else {
        emit(object);
      }
    }
    sink_(servers);
  } else if (kind == ObjectKind::kEvacuations) {
    fleet::EvacuationsListed evacuations;
    evacuations.as_of = state.as_of;
    for (const StoredObject& object : listed) {
      if (!object.name.empty()) evacuations.zones.emplace_back(object.name);
    }
    sink_(evacuations);
  } else {
    for (const StoredObject& object : listed) emit(object);
  }
  // This system's own records are not watched: the daemons send each other the
  // changes.
  auto view = store_view_of(kind);
  if (!view) {
    state.busy = false;
    return;
  }
  sink_(fleet::ViewListed{*view, state.as_of});
  continue_watching(kind);
}

void StoreFeed::continue_watching(ObjectKind kind) {
  KindState& state = state_of(kind);
  state.busy = watching_;
  if (!watching_) return;
  if (state.as_of.era < era()) return list(kind, {});
  Duration wait = kind == ObjectKind::kEvacuations
                      ? fleet::config::kEvacuationWatchWait
                      : watch_wait_;
  watch(kind, state.failures > 0 ? kProbeWait : wait);
}

void StoreFeed::set_watch(const fleet::WatchStore& watch) {
  watching_ = watch.on;
  watch_wait_ = watch.wait;
  if (!watching_) return;
  auto& configuration = state_of(ObjectKind::kConfiguration).as_of;
  configuration = std::max(configuration, watch.configuration_as_of);
  auto& servers = state_of(ObjectKind::kServers).as_of;
  servers = std::max(servers, watch.servers_as_of);
  auto& evacuations = state_of(ObjectKind::kEvacuations).as_of;
  evacuations = std::max(evacuations, watch.evacuations_as_of);
  for (ObjectKind kind : watched_kinds()) {
    if (!state_of(kind).busy) continue_watching(kind);
  }
}

void StoreFeed::catch_up(const fleet::CatchUp& request) {
  ObjectKind kind = request.view == fleet::StoreView::kConfiguration
                        ? ObjectKind::kConfiguration
                        : ObjectKind::kServers;
  // A watch that waits does not show yet whether the copy is current.
  if (state_of(kind).busy && !state_of(kind).waits_for_change) return;
  state_of(kind).as_of = std::max(state_of(kind).as_of, request.as_of);
  watch(kind, kProbeWait);
}

void StoreFeed::watch(ObjectKind kind, Duration wait) {
  KindState& state = state_of(kind);
  state.busy = true;
  state.waits_for_change = wait > kProbeWait;
  state.timer.cancel();
  store_.watch(kind, state.as_of.revision, wait,
               state.slow ? kSlowWatchMargin : kWatchMargin,
               [this, kind, call = ++state.call](PageResult result) {
                 on_changes(kind, call, std::move(result));
               });
}

void StoreFeed::on_changes(ObjectKind kind, std::uint64_t call,
                           PageResult result) {
  bool current = accept_era(stated_era(result));
  if (call != state_of(kind).call) return;
  state_of(kind).waits_for_change = false;
  if (!current) return retry(kind, kEarlierEra, false);
  if (const auto* failure = std::get_if<StoreFailure>(&result)) {
    return retry(kind, *failure,
                 failure->kind == StoreFailureKind::kHistoryGone);
  }
  sink_(fleet::StoreAnswered());
  const auto& page = std::get<ObjectPage>(result);
  KindState& state = state_of(kind);
  state.failures = 0;
  // A change may end the wait of a watch that a slow store answers late.
  if (page.objects.empty()) state.slow = page.overdue > kWatchMargin;
  state.as_of = std::max(state.as_of, {era(), page.as_of});
  sink_(fleet::StoreChanged{store_update_of(kind, page)});
  if (page.objects.empty()) return continue_watching(kind);
  state.timer.expires_after(kWatchPause);
  state.timer.async_wait([this, kind](const boost::system::error_code& failed) {
    if (!failed) continue_watching(kind);
  });
}

void StoreFeed::retry(ObjectKind kind, const StoreFailure& failure,
                      bool relist) {
  KindState& state = state_of(kind);
  ++state.failures;
  // Every other margin stays short, so that the return of a store that was
  // silent is noticed soon.
  if (failure.overdue >= kWatchMargin) state.slow = !state.slow;
  if (failure.kind == StoreFailureKind::kHistoryGone) {
    log_line(LogLevel::kWarning,
             {{"event", "store_history_gone"}, {"as_of", text(state.as_of)}});
  } else {
    sink_(fleet::StoreFailed{failure.why, failure.overdue});
  }
  state.timer.expires_after(retry_delay(state.failures));
  state.timer.async_wait(
      [this, kind, relist](const boost::system::error_code& failed) {
        if (failed) return;
        if (relist) return list(kind, {});
        continue_watching(kind);
      });
}

fleet::StoreUpdate StoreFeed::store_update_of(ObjectKind kind,
                                              const ObjectPage& page) {
  fleet::StoreUpdate update;
  update.view = *store_view_of(kind);
  update.as_of = {era(), page.as_of};
  for (const StoredObject& object : page.objects) {
    if (kind == ObjectKind::kEvacuations) {
      // Its existence is the order, whatever it contains.
      if (!object.name.empty()) {
        update.evacuations.push_back({ZoneName(object.name), !object.deleted});
      }
      continue;
    }
    if (const auto* unreadable = std::get_if<UnreadableObject>(&object.value)) {
      log_unreadable(object, unreadable->why);
      // An entry that cannot be read names no server to use, as in a list.
      if (kind == ObjectKind::kServers && !object.name.empty())
        update.servers.emplace_back(ServerName(object.name));
    } else if (const auto* read =
                   std::get_if<fleet::Configuration>(&object.value)) {
      update.configuration = std::make_shared<fleet::Configuration>(*read);
      update.configuration_revision = object.revision;
    } else if (object.deleted && kind == ObjectKind::kServers) {
      update.servers.emplace_back(ServerName(object.name));
    } else if (const auto* server = std::get_if<fleet::Server>(&object.value)) {
      update.servers.emplace_back(*server);
    }
  }
  return update;
}

void StoreFeed::emit(const StoredObject& object, TimePoint sent_at) {
  if (const auto* unreadable = std::get_if<UnreadableObject>(&object.value)) {
    return log_unreadable(object, unreadable->why);
  }
  if (const auto* configuration =
          std::get_if<fleet::Configuration>(&object.value)) {
    return sink_(fleet::ConfigurationSeen{
        std::make_shared<fleet::Configuration>(*configuration),
        object.revision});
  }
  if (const auto* server = std::get_if<fleet::Server>(&object.value)) {
    if (object.deleted) return sink_(fleet::ServerRemoved{server->name});
    return sink_(fleet::ServerSeen{*server});
  }
  if (const auto* record = std::get_if<RecordText>(&object.value)) {
    if (!object.deleted) emit_record(object, *record, sent_at);
    return;
  }
  if (object.deleted) sink_(fleet::ServerRemoved{ServerName(object.name)});
}

void StoreFeed::emit_record(const StoredObject& object,
                            const RecordText& record, TimePoint sent_at) {
  auto unreadable = [&](const Error& error) {
    log_line(LogLevel::kError,
             {{"event", "record_unreadable"},
              {"name", object.name},
              {"revision", std::to_string(object.revision.value)},
              {"why", error.message}});
  };
  if (object.name.starts_with(kMapPrefix)) {
    auto map = codec::decode_owner_map(record.text, era());
    if (!ok(map)) return unreadable(error(map));
    return sink_(fleet::MapSeen{value(map), object.revision, era(), sent_at});
  }
  if (object.name.starts_with(kDaemonPrefix)) {
    auto daemon = codec::decode_daemon(record.text);
    if (!ok(daemon)) return unreadable(error(daemon));
    return sink_(fleet::DaemonSeen{value(daemon)});
  }
  if (object.name == kQuarantineRecord) {
    auto strikes = codec::decode_strikes(record.text, wall_now());
    if (!ok(strikes)) unreadable(error(strikes));
    // A record that cannot be read is replaced at the next write.
    sink_(fleet::QuarantineRecordRead{
        true, object.revision,
        ok(strikes) ? value(strikes) : std::vector<fleet::Strike>(), era()});
  }
}

void StoreFeed::write_map(const fleet::WriteMap& write) {
  std::string name = map_record_name(write.map.service);
  std::string text = codec::encode_owner_map(write.map);
  auto done = [this, service = write.map.service,
               number = write.number](const ChangeResult& result) {
    emit_write_result(service, number, result);
  };
  if (write.expected.value == 0) {
    store_.create_record(name, text, done);
  } else {
    store_.replace_record(name, write.expected, text, done);
  }
}

void StoreFeed::emit_write_result(const ServiceName& service,
                                  std::uint64_t number,
                                  const ChangeResult& result) {
  fleet::MapWriteEnded ended{service, number, write_outcome(result), {}};
  const auto* written = std::get_if<RecordWritten>(&result);
  if (!accept_era(stated_era(result))) {
    ended.outcome = fleet::WriteOutcome::kUnknown;
  } else if (written != nullptr) {
    sink_(fleet::StoreAnswered());
    ended.position = {era(), written->revision};
  }
  sink_(ended);
}

void StoreFeed::read_map(const fleet::ReadMap& read) {
  store_.read(ObjectKind::kRecords, map_record_name(read.service),
              [this, read](const PageResult& result) {
                if (!accept_era(stated_era(result)))
                  return sink_(fleet::StoreFailed{kEarlierEra.why});
                if (const auto* page = std::get_if<ObjectPage>(&result)) {
                  sink_(fleet::StoreAnswered());
                  for (const StoredObject& object : page->objects)
                    emit(object, read.sent_at);
                  return;
                }
                const auto& failure = std::get<StoreFailure>(result);
                if (failure.kind == StoreFailureKind::kMissing) {
                  sink_(fleet::StoreAnswered());
                  return sink_(fleet::MapMissing{read.service, era()});
                }
                sink_(fleet::StoreFailed{failure.why, failure.overdue});
              });
}

void StoreFeed::read_quarantine_record() {
  store_.read(
      ObjectKind::kRecords, kQuarantineRecord,
      [this](const PageResult& result) {
        if (!accept_era(stated_era(result))) {
          sink_(fleet::StoreFailed{kEarlierEra.why});
          return sink_(fleet::QuarantineRecordRead{});
        }
        const auto* page = std::get_if<ObjectPage>(&result);
        if (page != nullptr && !page->objects.empty()) {
          sink_(fleet::StoreAnswered());
          return emit(page->objects.front());
        }
        const auto* failure = std::get_if<StoreFailure>(&result);
        bool missing =
            failure == nullptr || failure->kind == StoreFailureKind::kMissing;
        if (missing) {
          sink_(fleet::StoreAnswered());
        } else {
          sink_(fleet::StoreFailed{failure->why, failure->overdue});
        }
        sink_(fleet::QuarantineRecordRead{missing, Version(), {}, era()});
      });
}

void StoreFeed::write_quarantine_record(
    const fleet::WriteQuarantineRecord& write) {
  std::string text = codec::encode_strikes(write.strikes, wall_now());
  auto done = [this](const ChangeResult& result) {
    bool current = accept_era(stated_era(result));
    if (current && std::holds_alternative<RecordWritten>(result))
      sink_(fleet::StoreAnswered());
    sink_(fleet::QuarantineRecordWritten{
        current ? write_outcome(result) : fleet::WriteOutcome::kUnknown});
  };
  if (write.expected.value == 0) {
    store_.create_record(kQuarantineRecord, text, done);
  } else {
    store_.replace_record(kQuarantineRecord, write.expected, text, done);
  }
}

void StoreFeed::register_daemon() {
  std::string name = daemon_record_name(settings_.self.name);
  auto retry_later = [this] {
    registration_timer_.expires_after(kRegistrationRetryDelay);
    registration_timer_.async_wait(
        [this](const boost::system::error_code& failed) {
          if (!failed) register_daemon();
        });
  };
  store_.create_record(
      name, codec::encode_daemon(settings_.self),
      [this, name, retry_later](const ChangeResult& result) {
        const auto* failure = std::get_if<StoreFailure>(&result);
        if (failure == nullptr) return;
        if (failure->kind != StoreFailureKind::kConflict) return retry_later();
        store_.read(ObjectKind::kRecords, name,
                    [this, retry_later](const PageResult& read) {
                      const auto* page = std::get_if<ObjectPage>(&read);
                      if (page == nullptr || page->objects.empty()) {
                        return retry_later();
                      }
                      renew_registration(page->objects.front());
                    });
      });
}

/// `current` is the record of an earlier incarnation of this daemon, or that of
/// this one if the answer to its write was lost.
void StoreFeed::renew_registration(const StoredObject& current) {
  std::string text = codec::encode_daemon(settings_.self);
  const auto* record = std::get_if<RecordText>(&current.value);
  if (record != nullptr && record->text == text) return;
  store_.replace_record(
      current.name, current.revision, text, [this](const ChangeResult& result) {
        if (std::holds_alternative<RecordWritten>(result)) return;
        registration_timer_.expires_after(kRegistrationRetryDelay);
        registration_timer_.async_wait(
            [this](const boost::system::error_code& failed) {
              if (!failed) register_daemon();
            });
      });
}

}  // namespace eelgrasspin::io
