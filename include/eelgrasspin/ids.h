#ifndef EELGRASSPIN_IDS_H_
#define EELGRASSPIN_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace eelgrasspin {

/// Strongly typed name: names with different tags do not convert to each other.
template <class Tag>
class Name {
 public:
  Name() = default;
  explicit Name(std::string text) : text_(std::move(text)) {}
  explicit Name(std::string_view text) : text_(text) {}
  explicit Name(const char* text) : text_(text) {}

  const std::string& str() const { return text_; }
  bool empty() const { return text_.empty(); }
  auto operator<=>(const Name&) const = default;

 private:
  std::string text_;
};

template <class Tag>
std::ostream& operator<<(std::ostream& out, const Name<Tag>& name) {
  return out << name.str();
}

/// Strongly typed number: numbers with different tags do not convert to each
/// other.
template <class Tag, class Rep = std::uint64_t>
struct Number {
  Rep value = 0;

  Number() = default;
  explicit constexpr Number(Rep v) : value(v) {}
  auto operator<=>(const Number&) const = default;
  Number next() const { return Number(value + 1); }
};

template <class Tag, class Rep>
std::ostream& operator<<(std::ostream& out, const Number<Tag, Rep>& number) {
  return out << number.value;
}

using ServiceName = Name<struct ServiceNameTag>;
using ServerName = Name<struct ServerNameTag>;
using DaemonName = Name<struct DaemonNameTag>;
using ZoneName = Name<struct ZoneNameTag>;
using RegionName = Name<struct RegionNameTag>;
using OperatorName = Name<struct OperatorNameTag>;
using CallerName = Name<struct CallerNameTag>;
/// Routing key within a service, exactly as the caller sent it.
using Key = Name<struct KeyTag>;
using StoreKey = Name<struct StoreKeyTag>;
using CommandId = Name<struct CommandIdTag>;
/// IP address and port, such as "127.0.0.1:7001".
using Endpoint = Name<struct EndpointTag>;

/// A partition of a service's keys; the unit of ownership.
using SlotId = Number<struct SlotIdTag, std::uint32_t>;
/// Fencing token of one slot's ownership; a higher epoch invalidates lower
/// ones.
using Epoch = Number<struct EpochTag>;
/// Fencing token of the front role of one backend server.
using FrontEpoch = Number<struct FrontEpochTag>;
/// Fencing token of the coordinator role of one availability zone.
using TermEpoch = Number<struct TermEpochTag>;
/// Object store revision at which a value was last written; 0 means that the
/// value is absent.
using Version = Number<struct VersionTag>;
/// How often the object store has been restored from an older copy. Each
/// restoration starts a new history of revisions.
using StoreEra = Number<struct StoreEraTag>;
/// Identifies one run of a process; two runs under the same name differ.
using Incarnation = Number<struct IncarnationTag>;

// The following ids are unique within one run of a daemon only.
using RequestId = Number<struct RequestIdTag>;
using AttemptId = Number<struct AttemptIdTag>;
using StoreOpId = Number<struct StoreOpIdTag>;
using OperatorCallId = Number<struct OperatorCallIdTag>;

}  // namespace eelgrasspin

template <class Tag>
struct std::hash<eelgrasspin::Name<Tag>> {
  std::size_t operator()(const eelgrasspin::Name<Tag>& name) const {
    return std::hash<std::string>()(name.str());
  }
};

template <class Tag, class Rep>
struct std::hash<eelgrasspin::Number<Tag, Rep>> {
  std::size_t operator()(const eelgrasspin::Number<Tag, Rep>& number) const {
    return std::hash<Rep>()(number.value);
  }
};

#endif  // EELGRASSPIN_IDS_H_
