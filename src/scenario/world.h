#ifndef EELGRASSPIN_SCENARIO_WORLD_H_
#define EELGRASSPIN_SCENARIO_WORLD_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/reducer.h"
#include "eelgrasspin/declarations.h"

/// Daemons' reducers on virtual time, with small fakes at the interfaces and
/// checks of the promises.
namespace eelgrasspin::scenario {

struct World;
using Action = std::function<void(World&)>;

struct ScheduledAction {
  Duration at{0};
  std::uint64_t order = 0;
  Action action;

  bool operator>(const ScheduledAction& other) const {
    return at != other.at ? at > other.at : order > other.order;
  }
};

/// One-way latencies.
struct Latencies {
  Duration same_zone = microseconds(200);
  Duration between_zones = milliseconds(1);
  Duration between_regions = milliseconds(8);
  Duration clients = milliseconds(3);
  ZoneName store_zone;  ///< The store is in this zone.
};

/// Identity of one caller's request over all daemons.
using RequestSerial = std::uint64_t;

struct Daemon {
  core::State state;
  bool alive = false;
  bool paused = false;
  std::uint64_t generation =
      0;  ///< Up by one at each start; stale deliveries are dropped.
  Duration clock_offset{0};
  std::deque<core::Event> inbox;  ///< Arrived during a pause.
  std::uint64_t next_request = 1;
  std::map<RequestId, RequestSerial> serials;
  struct Origin {
    DaemonName daemon;
    std::uint64_t generation = 0;
    RequestId request;
    AttemptId attempt;
  };
  /// Cancelled while this daemon was paused; whatever it answers is dropped.
  std::set<RequestId> cancelled;
  std::map<RequestId, Origin>
      origins;  ///< Requests that another daemon forwarded.
  struct Forward {
    DaemonName daemon;
    std::uint64_t generation = 0;
    RequestId request;
  };
  std::map<AttemptId, Forward> forwards;
  std::map<AttemptId, ServerName> at_servers;
  std::map<AttemptId, RequestSerial>
      answers;  ///< Whose answer an attempt brought.
  Version declarations_seen;
};

/// One execution of a request on a backend server.
struct Execution {
  RequestSerial serial = 0;
  ServerName server;
  SlotId slot;
  Key key;
  Epoch epoch;
  Duration start{0};
  Duration end{0};
  bool ended = false;
  bool aborted = false;
};

/// A request on its way to, or at, a backend server.
struct ServerWork {
  core::SendToServer effect;
  RequestSerial serial = 0;
  DaemonName front;
  std::uint64_t front_run = 0;
};

/// A backend server that obeys include/eelgrasspin/grant.h, or one that checks
/// nothing.
struct Server {
  ServerDeclaration declaration;
  bool alive = true;
  bool frozen = false;
  std::uint64_t incarnation = 1;
  Duration service_time = milliseconds(5);
  FrontEpoch highest_epoch;
  std::map<std::uint64_t, Duration>
      answers;  ///< Sequence -> when the answer was sent.
  Duration expires{-1};
  std::uint64_t set_version = 0;
  std::uint64_t applied_set_version = 0;
  std::set<SlotGrant> granted;
  std::uint32_t crashes = 0;
  struct Running {
    ServerWork service_time;
    std::size_t execution = 0;  ///< Index into World::executions.
  };
  std::map<std::pair<DaemonName, AttemptId>, Running> running;
  std::deque<Action> buffered;  ///< Arrived while frozen.
};

/// A caller's request and how it ended.
struct CallerRequest {
  RequestSerial serial = 0;
  RequestHead head;
  DaemonName entry;
  Duration sent{0};
  Duration ended{0};
  std::uint32_t ends = 0;
  std::optional<Outcome>
      outcome;  ///< Empty: no end was seen (its daemon was lost).
  Reason reason = Reason::kNone;
  RequestSerial answer_of = 0;
  ExecutionClass execution_class = ExecutionClass::kRead;
  bool poison = false;  ///< Crashes a server that runs it.
};

struct Watcher {
  StoreKey prefix;
  Version since;
  std::uint64_t id = 0;
  std::function<void(World&, StoreResult)> done;
};

struct Store {
  std::map<StoreKey, StoreEntry> entries;
  std::uint64_t revision = 0;
  bool down = false;
  std::uint32_t answers_to_lose = 0;  ///< Of the next writes.
  Duration extra_latency{0};
  std::vector<Watcher> watchers;
  std::uint64_t next_watcher = 1;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
};

/// What may happen to messages between daemons.
struct MessageFaults {
  double loss = 0;          ///< Probability.
  double duplicate = 0;     ///< Probability.
  Duration extra_delay{0};  ///< Upper bound, uniform.
};

struct World {
  Declarations declarations;
  Latencies latencies;
  std::mt19937_64 random;
  Duration now{0};
  std::priority_queue<ScheduledAction, std::vector<ScheduledAction>,
                      std::greater<>>
      queue;
  std::uint64_t next_order = 1;
  std::map<DaemonName, Daemon> daemons;
  std::map<ServerName, Server> servers;
  Store store;
  std::map<std::string, VmState> vms;
  Duration vm_list_lag = seconds(10);
  std::set<std::pair<ZoneName, ZoneName>>
      cut;  ///< Directed: messages from first to second are lost.
  std::set<ZoneName> cut_from_store;
  MessageFaults message_faults;
  bool servers_fence = true;  ///< Servers refuse lower front epochs; switched
                              ///< off to show that the checks can fail.
  std::map<RequestSerial, CallerRequest> requests;
  RequestSerial next_serial = 1;
  std::vector<Execution> executions;
  std::vector<TimelineEvent> timeline;
  std::map<OperatorCallId, CommandAnswer> operator_answers;
  std::uint64_t next_operator_call = 1;
  std::uint64_t peer_messages = 0;
  std::set<std::string> violations;
  std::map<StoreKey, OwnershipMap>
      last_maps;  ///< As last written; for the checks.
  struct LastExecution {
    Epoch epoch;
    ServerName server;
  };
  std::map<std::pair<ServiceName, Key>, LastExecution>
      last_execution;  ///< For the checks.
  std::uint64_t incarnations = 100;
};

/// A world with the declared servers running and no daemon yet.
World make_world(Declarations declarations, std::uint64_t seed);

void schedule(World& world, Duration delay, Action action);
/// Runs everything due until `until`.
void run_until(World& world, Duration until);
void run_for(World& world, Duration span);

// Daemons.
Endpoint endpoint_of(const DaemonName& daemon);
void add_daemon(World& world, const DaemonName& daemon, const ZoneName& zone,
                core::Guards guards = {});
void start_daemon(World& world, const DaemonName& daemon);
void kill_daemon(World& world, const DaemonName& daemon);
void pause_daemon(World& world, const DaemonName& daemon);
void resume_daemon(World& world, const DaemonName& daemon);
void stop_daemon(World& world, const DaemonName& daemon);
/// Hands an event to a daemon's reducer and executes the effects.
void deliver(World& world, const DaemonName& daemon, std::uint64_t generation,
             const core::Event& event);
Now now_of(const World& world, const Daemon& daemon);

// Servers.
void crash_server(World& world, const ServerName& server);
void restart_server(World& world, const ServerName& server);
void freeze_server(World& world, const ServerName& server);
void thaw_server(World& world, const ServerName& server);

// Network between availability zones.
void cut_zones(World& world, const ZoneName& from, const ZoneName& to);
void isolate_zone(World& world, const ZoneName& zone);
void heal_network(World& world);

// Platform.
void store_down(World& world);
void store_up(World& world);
void put_declarations(World& world, const Declarations& declarations);

// Callers and operators.
RequestSerial send_request(World& world, const DaemonName& entry,
                           const RequestHead& head, bool poison = false);
OperatorCallId send_command(World& world, const DaemonName& daemon,
                            const OperatorName& operator_name,
                            const CommandId& id, Command command);

}  // namespace eelgrasspin::scenario

#endif  // EELGRASSPIN_SCENARIO_WORLD_H_
