#include "io/store_feed.h"

#include "codec/fleet_json.h"
#include "io/log.h"

namespace eelgrasspin::io {
namespace {

/// Wait of a watch while the store does not answer, so that its return is
/// noticed at once, and of one that only brings this daemon up to date.
constexpr Duration kProbeWait = milliseconds(50);
/// Pause between a change and the next watch: changes that come together cost
/// one call, and a leaving server is still known of in good time.
constexpr Duration kWatchPause = milliseconds(200);
/// Pause after a failed call, doubled with each failure in a row ...
constexpr Duration kFirstPause = milliseconds(100);
/// ... up to this: entries that lapsed in an outage are back within two
/// seconds of its end.
constexpr Duration kLongestPause = milliseconds(400);
/// Pause before a daemon that could not announce itself tries again.
constexpr Duration kRegistrationPause = milliseconds(700);

/// Daemons of one start have registered by then.
constexpr Duration kDaemonRelist = milliseconds(1500);

constexpr std::string_view kDaemonPrefix = "daemon.";
constexpr std::string_view kMapPrefix = "owners.";

std::string daemon_record_name(const DaemonName& daemon) {
  return std::string(kDaemonPrefix) + daemon.str();
}
std::string map_record_name(const ServiceName& service) {
  return std::string(kMapPrefix) + service.str();
}

std::optional<fleet::StoreView> view_of(ObjectKind kind) {
  switch (kind) {
    case ObjectKind::kConfiguration:
      return fleet::StoreView::kConfiguration;
    case ObjectKind::kServers:
      return fleet::StoreView::kServers;
    case ObjectKind::kRecords:
      return std::nullopt;
  }
  return std::nullopt;
}

Duration pause_after(std::uint32_t failures) {
  Duration pause = kFirstPause;
  for (std::uint32_t i = 1; i < failures && pause < kLongestPause; ++i) {
    pause *= 2;
  }
  return std::min(pause, kLongestPause);
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
                     const fleet::Settings& settings, Sink sink)
    : io_(io),
      store_(store),
      settings_(settings),
      sink_(std::move(sink)),
      registration_(io),
      relist_(io) {}

StoreFeed::Kind& StoreFeed::kind(ObjectKind name) {
  auto& slot = kinds_[name];
  if (!slot) slot = std::make_unique<Kind>(io_);
  return *slot;
}

void StoreFeed::start() {
  for (ObjectKind name : {ObjectKind::kConfiguration, ObjectKind::kServers,
                          ObjectKind::kRecords}) {
    list(name, {});
  }
  register_daemon();
  list_daemons_again();
}

void StoreFeed::list_daemons_again() {
  relist_.expires_after(kDaemonRelist);
  relist_.async_wait([this](const boost::system::error_code& failed) {
    if (!failed) list(ObjectKind::kRecords, {});
  });
}

void StoreFeed::list(ObjectKind name, const std::string& after) {
  if (after.empty()) kind(name).listed.clear();
  kind(name).busy = true;
  store_.list(name, after, [this, name](PageResult result) {
    on_page(name, std::move(result));
  });
}

void StoreFeed::on_page(ObjectKind name, PageResult result) {
  if (const auto* failure = std::get_if<StoreFailure>(&result)) {
    return retry(name, *failure, true);
  }
  sink_(fleet::StoreAnswered());
  auto& page = std::get<ObjectPage>(result);
  Kind& state = kind(name);
  // Changes between two pages are seen by watching from the first one.
  if (state.listed.empty()) state.as_of = page.as_of;
  std::string last = page.objects.empty() ? "" : page.objects.back().name;
  for (StoredObject& object : page.objects) {
    state.listed.push_back(std::move(object));
  }
  if (page.has_more && !last.empty()) return list(name, last);
  finish_list(name);
}

void StoreFeed::finish_list(ObjectKind name) {
  Kind& state = kind(name);
  state.failures = 0;
  std::vector<StoredObject> listed = std::move(state.listed);
  state.listed.clear();
  if (name == ObjectKind::kServers) {
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
  } else {
    for (const StoredObject& object : listed) emit(object);
  }
  // Changes of this system's own records are told by the daemons themselves.
  auto view = view_of(name);
  if (!view) {
    state.busy = false;
    return;
  }
  sink_(fleet::ViewListed{*view, state.as_of});
  go_on(name);
}

void StoreFeed::go_on(ObjectKind name) {
  Kind& state = kind(name);
  state.busy = watching_;
  if (!watching_) return;
  watch(name, state.failures > 0 ? kProbeWait : watch_wait_);
}

void StoreFeed::set_watch(const fleet::WatchStore& watch) {
  watching_ = watch.on;
  watch_wait_ = watch.wait;
  if (!watching_) return;
  Version& configuration = kind(ObjectKind::kConfiguration).as_of;
  configuration = std::max(configuration, watch.configuration_as_of);
  Version& servers = kind(ObjectKind::kServers).as_of;
  servers = std::max(servers, watch.servers_as_of);
  for (ObjectKind name : {ObjectKind::kConfiguration, ObjectKind::kServers}) {
    if (!kind(name).busy) go_on(name);
  }
}

void StoreFeed::catch_up(const fleet::CatchUp& request) {
  ObjectKind name = request.view == fleet::StoreView::kConfiguration
                        ? ObjectKind::kConfiguration
                        : ObjectKind::kServers;
  if (kind(name).busy) return;
  kind(name).as_of = std::max(kind(name).as_of, request.as_of);
  watch(name, kProbeWait);
}

void StoreFeed::watch(ObjectKind name, Duration wait) {
  Kind& state = kind(name);
  state.busy = true;
  store_.watch(name, state.as_of, wait, [this, name](PageResult result) {
    on_events(name, std::move(result));
  });
}

void StoreFeed::on_events(ObjectKind name, PageResult result) {
  if (const auto* failure = std::get_if<StoreFailure>(&result)) {
    return retry(name, *failure,
                 failure->fault == StoreFailureKind::kHistoryGone);
  }
  sink_(fleet::StoreAnswered());
  const auto& page = std::get<ObjectPage>(result);
  Kind& state = kind(name);
  state.failures = 0;
  state.as_of = std::max(state.as_of, page.as_of);
  sink_(fleet::StoreChanged{update_of(name, page)});
  if (page.objects.empty()) return go_on(name);
  state.timer.expires_after(kWatchPause);
  state.timer.async_wait([this, name](const boost::system::error_code& failed) {
    if (!failed) go_on(name);
  });
}

void StoreFeed::retry(ObjectKind name, const StoreFailure& failure,
                      bool relist) {
  Kind& state = kind(name);
  ++state.failures;
  if (failure.fault == StoreFailureKind::kHistoryGone) {
    log_line(LogLevel::kWarning,
             {{"event", "store_history_gone"},
              {"as_of", std::to_string(state.as_of.value)}});
  } else {
    sink_(fleet::StoreFailed{failure.why});
  }
  state.timer.expires_after(pause_after(state.failures));
  state.timer.async_wait(
      [this, name, relist](const boost::system::error_code& failed) {
        if (failed) return;
        if (relist) return list(name, {});
        go_on(name);
      });
}

fleet::StoreUpdate StoreFeed::update_of(ObjectKind name,
                                        const ObjectPage& page) {
  fleet::StoreUpdate update;
  update.view = name == ObjectKind::kConfiguration
                    ? fleet::StoreView::kConfiguration
                    : fleet::StoreView::kServers;
  update.as_of = page.as_of;
  for (const StoredObject& object : page.objects) {
    if (const auto* unreadable = std::get_if<UnreadableObject>(&object.value)) {
      log_unreadable(object, unreadable->why);
    } else if (const auto* read =
                   std::get_if<fleet::Configuration>(&object.value)) {
      update.configuration = std::make_shared<fleet::Configuration>(*read);
      update.configuration_revision = object.revision;
    } else if (object.deleted && name == ObjectKind::kServers) {
      update.servers.emplace_back(ServerName(object.name));
    } else if (const auto* server = std::get_if<fleet::Server>(&object.value)) {
      update.servers.emplace_back(*server);
    }
  }
  return update;
}

void StoreFeed::emit(const StoredObject& object) {
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
    if (!object.deleted) emit_record(object, *record);
    return;
  }
  if (object.deleted) sink_(fleet::ServerRemoved{ServerName(object.name)});
}

void StoreFeed::emit_record(const StoredObject& object,
                            const RecordText& record) {
  auto unreadable = [&](const Error& error) {
    log_line(LogLevel::kError,
             {{"event", "record_unreadable"},
              {"name", object.name},
              {"revision", std::to_string(object.revision.value)},
              {"why", error.message}});
  };
  if (object.name.starts_with(kMapPrefix)) {
    auto map = codec::decode_owner_map(record.text);
    if (!ok(map)) return unreadable(error(map));
    return sink_(fleet::MapSeen{value(map), object.revision});
  }
  if (object.name.starts_with(kDaemonPrefix)) {
    auto daemon = codec::decode_daemon(record.text);
    if (!ok(daemon)) return unreadable(error(daemon));
    sink_(fleet::DaemonSeen{value(daemon)});
  }
}

void StoreFeed::write_map(const fleet::WriteMap& write) {
  std::string name = map_record_name(write.map.service);
  std::string text = codec::encode_owner_map(write.map);
  auto done = [this, service = write.map.service](const ChangeResult& result) {
    emit_change(service, result);
  };
  if (write.expected.value == 0) {
    store_.create_record(name, text, done);
  } else {
    store_.replace_record(name, write.expected, text, done);
  }
}

void StoreFeed::emit_change(const ServiceName& service,
                            const ChangeResult& result) {
  using fleet::WriteOutcome;
  if (const auto* revision = std::get_if<Version>(&result)) {
    sink_(fleet::StoreAnswered());
    return sink_(
        fleet::MapWriteEnded{service, WriteOutcome::kWritten, *revision});
  }
  const auto& failure = std::get<StoreFailure>(result);
  WriteOutcome outcome = WriteOutcome::kUnknown;
  if (failure.fault == StoreFailureKind::kConflict)
    outcome = WriteOutcome::kConflict;
  if (failure.fault == StoreFailureKind::kRefused ||
      failure.fault == StoreFailureKind::kMissing) {
    outcome = WriteOutcome::kNotDone;
  }
  sink_(fleet::MapWriteEnded{service, outcome, Version()});
}

void StoreFeed::read_map(const ServiceName& service) {
  store_.read(ObjectKind::kRecords, map_record_name(service),
              [this, service](const PageResult& result) {
                if (const auto* page = std::get_if<ObjectPage>(&result)) {
                  sink_(fleet::StoreAnswered());
                  for (const StoredObject& object : page->objects) emit(object);
                  return;
                }
                const auto& failure = std::get<StoreFailure>(result);
                if (failure.fault == StoreFailureKind::kMissing) {
                  sink_(fleet::StoreAnswered());
                  return sink_(fleet::MapMissing{service});
                }
                sink_(fleet::StoreFailed{failure.why});
              });
}

void StoreFeed::register_daemon() {
  std::string name = daemon_record_name(settings_.self.name);
  auto again = [this] {
    registration_.expires_after(kRegistrationPause);
    registration_.async_wait([this](const boost::system::error_code& failed) {
      if (!failed) register_daemon();
    });
  };
  store_.create_record(
      name, codec::encode_daemon(settings_.self),
      [this, name, again](const ChangeResult& result) {
        const auto* failure = std::get_if<StoreFailure>(&result);
        if (failure == nullptr) return;
        if (failure->fault != StoreFailureKind::kConflict) return again();
        store_.read(ObjectKind::kRecords, name,
                    [this, again](const PageResult& read) {
                      const auto* page = std::get_if<ObjectPage>(&read);
                      if (page == nullptr || page->objects.empty()) {
                        return again();
                      }
                      renew_registration(page->objects.front());
                    });
      });
}

/// The record of an earlier start of this daemon, or the lost answer to a
/// write of this one.
void StoreFeed::renew_registration(const StoredObject& current) {
  std::string text = codec::encode_daemon(settings_.self);
  const auto* record = std::get_if<RecordText>(&current.value);
  if (record != nullptr && record->text == text) return;
  store_.replace_record(current.name, current.revision, text,
                        [this](const ChangeResult& result) {
                          if (std::holds_alternative<Version>(result)) return;
                          registration_.expires_after(kRegistrationPause);
                          registration_.async_wait(
                              [this](const boost::system::error_code& failed) {
                                if (!failed) register_daemon();
                              });
                        });
}

}  // namespace eelgrasspin::io
