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

/// A simulated deployment on virtual time: the reducers of real daemons, with
/// fakes for the network, the store and the backend servers. Breaches of the
/// guarantees are collected in World::violations.
namespace eelgrasspin::scenario {

struct World;
using Action = std::function<void(World&)>;

struct ScheduledAction {
  Duration due_at{0};
  std::uint64_t sequence = 0;  ///< Orders actions that are due at one time.
  Action action;

  bool operator>(const ScheduledAction& other) const {
    return due_at != other.due_at ? due_at > other.due_at
                                  : sequence > other.sequence;
  }
};

/// One-way latencies.
struct Latencies {
  Duration same_zone = microseconds(200);
  Duration between_zones = milliseconds(1);
  Duration between_regions = milliseconds(8);
  Duration caller_to_daemon = milliseconds(3);
  ZoneName store_zone;  ///< Where the store runs.
};

/// Identifies a caller's request across all daemons; 0: none.
using RequestSerial = std::uint64_t;

/// A daemon process, its reducer's state, and its open calls.
struct Daemon {
  core::State state;
  bool alive = false;
  bool paused = false;
  /// Increased at each start and each exit. A delivery for another generation
  /// is dropped.
  std::uint64_t generation = 0;
  Duration clock_offset{0};
  std::deque<core::Event> deferred_events;  ///< Arrived during the pause.
  std::uint64_t next_request = 1;
  std::map<RequestId, RequestSerial> request_serials;
  /// Where a forwarded request came from.
  struct Origin {
    DaemonName daemon;
    std::uint64_t generation = 0;
    RequestId request;
    AttemptId attempt;
  };
  /// Forwarded requests cancelled while this daemon was paused; their answers
  /// are dropped.
  std::set<RequestId> cancelled_while_paused;
  /// Of the requests that other daemons forwarded to this one.
  std::map<RequestId, Origin> origins;
  /// Where a request was forwarded to.
  struct Forward {
    DaemonName daemon;
    std::uint64_t generation = 0;
    RequestId request;
  };
  std::map<AttemptId, Forward> forwards;
  std::map<AttemptId, ServerName> server_attempts;
  /// The request to which the answer of an attempt belongs.
  std::map<AttemptId, RequestSerial> answered_serials;
  Version last_declarations_version;
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

/// A request sent to a backend server.
struct ServerRequest {
  core::SendToServer effect;
  RequestSerial serial = 0;
  DaemonName front;
  std::uint64_t front_generation = 0;
};

/// A backend server that follows the protocol of include/eelgrasspin/grant.h,
/// or one that checks no grants.
struct Server {
  ServerDeclaration declaration;
  bool alive = true;
  bool frozen = false;
  std::uint64_t incarnation = 1;
  Duration service_time = milliseconds(5);
  FrontEpoch highest_epoch;
  /// When the answer to each order was sent, by the order's sequence.
  std::map<std::uint64_t, Duration> answer_times;
  Duration grant_expiry{-1};  ///< Grants are in force before this time.
  std::uint64_t set_version = 0;
  std::uint64_t applied_set_version = 0;
  std::set<SlotGrant> granted_units;
  std::uint32_t crashes = 0;
  struct Running {
    ServerRequest request;
    std::size_t execution = 0;  ///< Index into World::executions.
  };
  std::map<std::pair<DaemonName, AttemptId>, Running> running;
  std::deque<Action> deferred_actions;  ///< Arrived during the freeze.
};

/// A caller's request and its outcome.
struct CallerRequest {
  RequestSerial serial = 0;
  RequestHead head;
  DaemonName entry;
  Duration sent{0};
  Duration ended{0};
  std::uint32_t end_count = 0;     ///< Times that the caller received an end.
  std::optional<Outcome> outcome;  ///< Empty: open, or the daemon was lost.
  Reason reason = Reason::kNone;
  RequestSerial answered_serial = 0;  ///< The request whose answer came.
  ExecutionClass execution_class = ExecutionClass::kRead;
  bool poison = false;  ///< Crashes any server that runs it.
};

/// A pending watch at the store.
struct Watcher {
  StoreKey prefix;
  Version since;
  std::uint64_t id = 0;
  std::function<void(World&, StoreResult)> on_result;
};

/// The object store of the platform.
struct Store {
  std::map<StoreKey, StoreEntry> entries;
  std::uint64_t revision = 0;
  bool down = false;
  std::uint32_t answers_to_lose = 0;  ///< To the next writes, which are made.
  Duration extra_latency{0};          ///< One way.
  std::vector<Watcher> watchers;
  std::uint64_t next_watcher = 1;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
};

/// Faults of the messages between daemons.
struct MessageFaults {
  double loss = 0;          ///< Probability.
  double duplicate = 0;     ///< Probability.
  Duration extra_delay{0};  ///< Upper bound of a uniform delay.
};

struct World {
  Declarations declarations;
  Latencies latencies;
  std::mt19937_64 random;
  Duration now{0};
  std::priority_queue<ScheduledAction, std::vector<ScheduledAction>,
                      std::greater<>>
      queue;
  std::uint64_t next_sequence = 1;
  std::map<DaemonName, Daemon> daemons;
  std::map<ServerName, Server> servers;
  Store store;
  std::map<std::string, VmState> vms;
  /// From a daemon's kill until its VM is listed as gone.
  Duration vm_list_lag = seconds(10);
  /// Messages from the first zone to the second are lost.
  std::set<std::pair<ZoneName, ZoneName>> cut_links;
  std::set<ZoneName> zones_cut_from_store;
  MessageFaults message_faults;
  /// Servers refuse lower front epochs. Tests switch this off to show that the
  /// checks detect a second owner.
  bool servers_fence = true;
  std::map<RequestSerial, CallerRequest> requests;
  RequestSerial next_serial = 1;
  std::vector<Execution> executions;
  std::vector<TimelineEvent> timeline;
  std::map<OperatorCallId, CommandAnswer> operator_answers;
  std::uint64_t next_operator_call = 1;
  std::uint64_t peer_messages = 0;
  std::set<std::string> violations;
  std::map<StoreKey, OwnershipMap> last_written_maps;  ///< For the checks.
  struct LastExecution {
    Epoch epoch;
    ServerName server;
  };
  std::map<std::pair<ServiceName, Key>, LastExecution>
      last_executions;                   ///< For the checks.
  std::uint64_t last_incarnation = 100;  ///< Of daemons.
};

/// A world in which the declared servers run, but no daemon.
World make_world(Declarations declarations, std::uint64_t seed);

void schedule(World& world, Duration delay, Action action);
/// Runs the actions that are due by `until`, in order.
void run_until(World& world, Duration until);
void run_for(World& world, Duration span);

// Daemons.
Endpoint endpoint_of(const DaemonName& daemon);
void add_daemon(World& world, const DaemonName& daemon, const ZoneName& zone,
                core::Guards guards = {});
void start_daemon(World& world, const DaemonName& daemon);
/// Ends the process at once; its open requests are lost.
void kill_daemon(World& world, const DaemonName& daemon);
/// Events are deferred until resume_daemon.
void pause_daemon(World& world, const DaemonName& daemon);
void resume_daemon(World& world, const DaemonName& daemon);
/// Requests an orderly stop.
void stop_daemon(World& world, const DaemonName& daemon);
/// Passes an event to a daemon's reducer and executes the effects. Dropped if
/// the daemon is down or of another generation; deferred during a pause.
void deliver(World& world, const DaemonName& daemon, std::uint64_t generation,
             const core::Event& event);
Now now_of(const World& world, const Daemon& daemon);

// Servers.
void crash_server(World& world, const ServerName& server);
void restart_server(World& world, const ServerName& server);
/// The server does nothing until thaw_server, and then all that was due.
void freeze_server(World& world, const ServerName& server);
void thaw_server(World& world, const ServerName& server);

// Network between availability zones.
/// Loses all messages in this direction.
void cut_zones(World& world, const ZoneName& from, const ZoneName& to);
/// Cuts a zone off from the other zones, in both directions, and the store.
void isolate_zone(World& world, const ZoneName& zone);
void heal_network(World& world);

// Platform.
/// Calls time out until store_up; pending watches fail.
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
