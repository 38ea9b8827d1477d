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

/// What a fleet daemon needs of the platform it runs on.
namespace eelgrasspin::fleet {

/// A server's answer, kept until its caller is sent it.
struct ServerAnswer {
  io::HttpResponse http;
};

}  // namespace eelgrasspin::fleet

namespace eelgrasspin::io {

/// What the store holds, by who writes it.
enum class ObjectKind : std::uint8_t {
  kConfiguration,  ///< The operator's.
  kServers,        ///< The backend servers' own entries.
  kRecords,        ///< This system's.
};

/// An object that cannot be read as what its kind says.
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
  bool has_more = false;  ///< Listing goes on after the last name.
  Version as_of;          ///< The store's revision.
};

enum class StoreFailureKind : std::uint8_t {
  kNoAnswer,     ///< A change may have been made, or may be made later.
  kRefused,      ///< Nothing was done.
  kHistoryGone,  ///< Changes since that revision are no longer known.
  kConflict,     ///< The object is not at the expected revision.
  kMissing,      ///< There is no such object.
};

struct StoreFailure {
  StoreFailureKind fault = StoreFailureKind::kNoAnswer;
  std::string why;
};

using PageResult = std::variant<ObjectPage, StoreFailure>;
/// The object's new revision.
using ChangeResult = std::variant<Version, StoreFailure>;

/// The platform's store. Each call answers once and is paid for.
class FleetStore {
 public:
  using PageCallback = std::function<void(PageResult)>;
  using ChangeCallback = std::function<void(ChangeResult)>;

  virtual ~FleetStore() = default;
  /// Objects of a kind whose names come after `after`, in the order of names.
  virtual void list(ObjectKind kind, const std::string& after,
                    PageCallback done) = 0;
  /// Changes since a revision; waits for one for at most `wait`.
  virtual void watch(ObjectKind kind, Version since, Duration wait,
                     PageCallback done) = 0;
  virtual void read(ObjectKind kind, const std::string& name,
                    PageCallback done) = 0;
  virtual void create_record(const std::string& name, const std::string& text,
                             ChangeCallback done) = 0;
  virtual void replace_record(const std::string& name, Version expected,
                              const std::string& text, ChangeCallback done) = 0;
};

/// Orders to backend servers about the keys they hold.
class KeyOrders {
 public:
  using Callback = std::function<void(fleet::OrderEnded)>;

  virtual ~KeyOrders() = default;
  virtual void grant(const fleet::GrantKeys& order, Callback done) = 0;
  virtual void release(const fleet::ReleaseKeys& order, Callback done) = 0;
};

/// What a caller's request says to the router.
struct CallerRequestHead {
  std::string caller_request_id;
  std::string host;
  std::string path;
  std::optional<fleet::ShardKey> key;
  std::optional<Duration> deadline;
};

/// The header fields that callers, this system and the servers agree on.
class RequestFormat {
 public:
  virtual ~RequestFormat() = default;
  /// An error says what is wrong with the request.
  virtual Result<CallerRequestHead> read_caller_request(
      const HttpRequest& request) const = 0;
  /// The caller's request as it is passed on.
  virtual HttpRequest make_server_request(
      const HttpRequest& request, const fleet::SendAttempt& attempt) const = 0;
  virtual bool matches_request(const std::string& caller_request_id,
                               const HttpResponse& answer) const = 0;
  /// What an answer says of the request that was sent.
  virtual fleet::AttemptEnded classify(HttpResponse answer) const = 0;
  virtual HttpResponse make_caller_response(
      const fleet::ServerAnswer& answer) const = 0;
  /// An answer of this system's own.
  virtual HttpResponse make_router_response(
      const std::string& caller_request_id, int status, Duration retry_after,
      std::string_view reason) const = 0;
};

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_FLEET_PORTS_H_
