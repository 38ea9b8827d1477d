#ifndef EELGRASSPIN_IO_FLEET_PORTS_H_
#define EELGRASSPIN_IO_FLEET_PORTS_H_

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "eelgrasspin/result.h"
#include "fleet/effect.h"
#include "fleet/event.h"
#include "fleet/model.h"
#include "io/http_client.h"
#include "io/http_types.h"

/// Interfaces through which a fleet daemon uses the platform it runs on.
namespace eelgrasspin::fleet {

/// A server's answer, kept until it is sent to the caller.
struct ServerAnswer {
  io::HttpResponse http;
};

}  // namespace eelgrasspin::fleet

namespace eelgrasspin::io {

/// Kinds of objects in the store, by their writer.
enum class ObjectKind : std::uint8_t {
  kConfiguration,  ///< Written by the operator.
  kServers,        ///< Entries that backend servers write about themselves.
  kEvacuations,    ///< Written by the operator; named by zone.
  kRecords,        ///< Records that this system's daemons write.
};

/// An object that cannot be decoded as its kind requires.
struct UnreadableObject {
  std::string why;
};
/// The text of one of this system's own records.
struct RecordText {
  std::string text;
};

struct StoredObject {
  std::string name;
  Version revision;
  bool deleted = false;
  std::variant<std::monostate, fleet::Configuration, fleet::Server, RecordText,
               UnreadableObject>
      value;
};

struct ObjectPage {
  std::vector<StoredObject> objects;
  bool has_more = false;  ///< The list continues after the last name.
  Version as_of;          ///< Revision of the store that the page reflects.
  /// Era of the store that gave the page; empty if it states none.
  std::optional<StoreEra> era;
  /// How late the answer came: for a watch, after the end of its wait.
  Duration overdue{0};
};

enum class StoreFailureKind : std::uint8_t {
  kNoAnswer,     ///< A write may have been applied, or may be applied later.
  kRefused,      ///< Nothing was written.
  kHistoryGone,  ///< The store no longer knows the changes since the revision.
  kConflict,     ///< The object is not at the expected revision.
  kMissing,      ///< There is no such object.
};

struct StoreFailure {
  StoreFailureKind kind = StoreFailureKind::kNoAnswer;
  std::string why;
  /// Era that the answer states, if there is one.
  std::optional<StoreEra> era;
  /// How late an answer would have been when the call ended.
  Duration overdue{0};
};

/// An object that has been written.
struct RecordWritten {
  Version revision;
  std::optional<StoreEra> era;  ///< Of the store; empty if it states none.
};

using PageResult = std::variant<ObjectPage, StoreFailure>;
using ChangeResult = std::variant<RecordWritten, StoreFailure>;

/// The platform's store. Each call ends in exactly one callback. The platform
/// charges for each call.
class FleetStore {
 public:
  using PageCallback = std::function<void(PageResult)>;
  using ChangeCallback = std::function<void(ChangeResult)>;

  virtual ~FleetStore() = default;
  /// Lists the objects of a kind with names after `after`, in order of names.
  virtual void list(ObjectKind kind, const std::string& after,
                    PageCallback done) = 0;
  /// Returns the changes since a revision. If there are none, waits for one for
  /// at most `wait`. The call fails if the answer is overdue for `margin`.
  virtual void watch(ObjectKind kind, Version since, Duration wait,
                     Duration margin, PageCallback done) = 0;
  virtual void read(ObjectKind kind, const std::string& name,
                    PageCallback done) = 0;
  /// Creates a record; kConflict if it exists.
  virtual void create_record(const std::string& name, const std::string& text,
                             ChangeCallback done) = 0;
  /// Replaces a record; kConflict if its revision is not `expected`.
  virtual void replace_record(const std::string& name, Version expected,
                              const std::string& text, ChangeCallback done) = 0;
};

/// Sends orders to backend servers about the keys they hold.
class KeyOrders {
 public:
  using Callback = std::function<void(fleet::OrderEnded)>;

  virtual ~KeyOrders() = default;
  virtual void grant(const fleet::GrantKeys& order, Callback done) = 0;
  virtual void release(const fleet::ReleaseKeys& order, Callback done) = 0;
};

/// The parts of a caller's request that routing needs.
struct CallerRequestHead {
  std::string caller_request_id;  ///< Chosen by the caller; may be empty.
  std::string host;
  std::string path;
  std::optional<fleet::ShardKey> key;
  std::optional<Duration> deadline;
};

/// Reads and writes the header fields that callers, this system and the backend
/// servers have agreed on.
class RequestFormat {
 public:
  virtual ~RequestFormat() = default;
  /// Reads a caller's request; an error says what is wrong with it.
  virtual Result<CallerRequestHead> read_caller_request(
      const HttpRequest& request) const = 0;
  /// The id that the caller has given its request; empty if it has none.
  virtual std::string caller_request_id(const HttpRequest& request) const = 0;
  /// Builds the head of the request that is forwarded to the server of
  /// `attempt`. The body is forwarded as it is.
  virtual HttpRequest make_server_request(
      const HttpRequest& request, const fleet::SendAttempt& attempt) const = 0;
  /// Whether a server's response belongs to the request with this id.
  virtual bool matches_request(const std::string& caller_request_id,
                               const HttpResponse& response) const = 0;
  /// Tells from a server's response how the attempt ended.
  virtual fleet::AttemptEnded classify(HttpResponse response) const = 0;
  /// Builds the response that relays a server's answer to the caller.
  virtual HttpResponse make_caller_response(
      const fleet::ServerAnswer& answer) const = 0;
  /// Builds a response of this system's own. `retry_after` 0: it has no
  /// Retry-After header.
  virtual HttpResponse make_router_response(
      const std::string& caller_request_id, int status, Duration retry_after,
      std::string_view reason) const = 0;
};

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_FLEET_PORTS_H_
