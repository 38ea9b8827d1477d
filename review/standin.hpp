#ifndef EELGRASSPIN_REVIEW_STANDIN_HPP_
#define EELGRASSPIN_REVIEW_STANDIN_HPP_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

/// Small stand-ins of the platform, its store, backend servers and clients, for
/// the scripts of the review. All sockets are on loopback addresses.
namespace review {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;

inline Clock::time_point start_time() {
  static const Clock::time_point start = Clock::now();
  return start;
}
/// Seconds since the start of the program.
inline double now_s() {
  return std::chrono::duration<double>(Clock::now() - start_time()).count();
}
inline void sleep_s(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// Lines of record.txt, with the time since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void line(const std::string& text) {
    std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", now_s());
    file_ << time << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

struct Message {
  std::string start;  ///< Request line or status line.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  const std::string* header(const std::string& name) const {
    for (const auto& [field, value] : headers) {
      if (::strcasecmp(field.c_str(), name.c_str()) == 0) return &value;
    }
    return nullptr;
  }
  std::string method() const { return start.substr(0, start.find(' ')); }
  std::string target() const {
    std::size_t from = start.find(' ') + 1;
    return start.substr(from, start.find(' ', from) - from);
  }
  int status() const {
    return start.size() < 12 ? 0 : std::atoi(start.c_str() + 9);
  }
};

/// A connected socket that sends and receives HTTP/1.1 messages.
class Stream {
 public:
  explicit Stream(int fd) : fd_(fd) {
    int one = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  }
  ~Stream() { ::close(fd_); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  bool send(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      ssize_t n =
          ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) return false;
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }

  /// The next message; empty at the end of the connection or after `timeout_s`.
  std::optional<Message> receive(double timeout_s) {
    double end = now_s() + timeout_s;
    for (;;) {
      std::size_t head_end = buffer_.find("\r\n\r\n");
      if (head_end != std::string::npos) {
        Message message = parse_head(buffer_.substr(0, head_end));
        const std::string* length = message.header("Content-Length");
        std::size_t body = length == nullptr ? 0 : std::stoul(*length);
        if (buffer_.size() >= head_end + 4 + body) {
          message.body = buffer_.substr(head_end + 4, body);
          buffer_.erase(0, head_end + 4 + body);
          return message;
        }
      }
      double left = end - now_s();
      if (left <= 0) return std::nullopt;
      pollfd ready{fd_, POLLIN, 0};
      if (::poll(&ready, 1, static_cast<int>(left * 1000) + 1) <= 0) continue;
      char chunk[16384];
      ssize_t n = ::recv(fd_, chunk, sizeof chunk, 0);
      if (n <= 0) {
        ended_ = true;
        return std::nullopt;
      }
      buffer_.append(chunk, static_cast<std::size_t>(n));
    }
  }
  /// The other side has closed the connection.
  bool ended() const { return ended_; }

 private:
  static Message parse_head(const std::string& head) {
    Message message;
    std::istringstream lines(head);
    std::string line;
    while (std::getline(lines, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      if (message.start.empty()) {
        message.start = line;
        continue;
      }
      std::size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers.emplace_back(
          line.substr(0, colon),
          value == std::string::npos ? "" : line.substr(value));
    }
    return message;
  }

  int fd_;
  std::string buffer_;
  bool ended_ = false;
};

inline sockaddr_in address_of(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline std::unique_ptr<Stream> connect_to(const std::string& ip, int port) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = address_of(ip, port);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
      0) {
    ::close(fd);
    return nullptr;
  }
  return std::make_unique<Stream>(fd);
}

inline int free_port(const std::string& ip) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = address_of(ip, 0);
  ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(fd);
  return ntohs(address.sin_port);
}

inline std::string response(
    int status, const std::string& body,
    const std::vector<std::pair<std::string, std::string>>& headers = {}) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers)
    text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

/// Listens and runs `serve` on a thread of its own for each connection. The
/// threads end with the process.
class Listener {
 public:
  using Serve = std::function<void(Stream&)>;
  Listener(std::string ip, Serve serve)
      : ip_(std::move(ip)), serve_(std::move(serve)) {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address = address_of(ip_, 0);
    if (::bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
            0 ||
        ::listen(fd_, 512) != 0) {
      std::cerr << "cannot listen on " << ip_ << "\n";
      std::_Exit(2);
    }
    socklen_t size = sizeof address;
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    std::thread([this, fd = fd_] {
      for (;;) {
        int client = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) return;
        {
          std::lock_guard lock(mutex_);
          clients_.insert(client);
        }
        std::thread([this, client] {
          Stream stream(client);
          serve_(stream);
          std::lock_guard lock(mutex_);
          clients_.erase(client);
        }).detach();
      }
    }).detach();
  }
  /// Refuses further connections and breaks the open ones.
  void stop() {
    ::shutdown(fd_, SHUT_RDWR);
    ::close(fd_);
    std::lock_guard lock(mutex_);
    for (int client : clients_) ::shutdown(client, SHUT_RDWR);
  }
  int port() const { return port_; }
  std::string endpoint() const { return ip_ + ":" + std::to_string(port_); }

 private:
  std::string ip_;
  Serve serve_;
  int fd_ = -1;
  int port_ = 0;
  std::mutex mutex_;
  std::set<int> clients_;
};

/// Forwards connections to a port of the same address. During a cut it neither
/// takes connections nor forwards bytes; afterwards the bytes that were held up
/// go on, unless their sender has reset the connection.
class Link {
 public:
  Link(std::string ip, int to) : ip_(std::move(ip)), to_(to) {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = address_of(ip_, 0);
    if (::bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
            0 ||
        ::listen(fd_, 128) != 0) {
      std::cerr << "cannot listen on " << ip_ << "\n";
      std::_Exit(2);
    }
    socklen_t size = sizeof address;
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    std::thread([this] { accept_connections(); }).detach();
  }
  std::string endpoint() const { return ip_ + ":" + std::to_string(port_); }

  void cut() {
    cut_ = true;
    sleep_s(0.05);
    // A full queue of new connections drops further ones silently.
    ::listen(fd_, 0);
    for (int i = 0; i < 3; ++i) {
      int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      sockaddr_in address = address_of(ip_, port_);
      (void)::connect(fd, reinterpret_cast<sockaddr*>(&address),
                      sizeof address);
      fillers_.push_back(fd);
    }
  }
  void heal() {
    for (int fd : fillers_) ::close(fd);
    fillers_.clear();
    ::listen(fd_, 128);
    cut_ = false;
  }

 private:
  void accept_connections() {
    for (;;) {
      pollfd ready{fd_, POLLIN, 0};
      if (cut_ || ::poll(&ready, 1, 20) <= 0) {
        sleep_s(0.002);
        continue;
      }
      if (cut_) continue;
      int from = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (from >= 0) std::thread([this, from] { forward(from); }).detach();
    }
  }

  static bool was_reset(int fd) {
    pollfd state{fd, 0, 0};
    return ::poll(&state, 1, 0) > 0 && (state.revents & POLLERR) != 0;
  }

  void forward(int from) {
    int to = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = address_of(ip_, to_);
    int one = 1;
    ::setsockopt(to, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    ::setsockopt(from, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    bool open = ::connect(to, reinterpret_cast<sockaddr*>(&address),
                          sizeof address) == 0;
    bool done[2] = {false, false};
    while (open && !(done[0] && done[1])) {
      if (cut_) {
        sleep_s(0.005);
        continue;
      }
      if (was_reset(from) || was_reset(to)) break;
      int ends[2] = {from, to};
      pollfd ready[2] = {{done[0] ? -1 : from, POLLIN, 0},
                         {done[1] ? -1 : to, POLLIN, 0}};
      if (::poll(ready, 2, 5) <= 0 || cut_) continue;
      for (int side = 0; side < 2 && open; ++side) {
        if (done[side] || ready[side].revents == 0) continue;
        char chunk[16384];
        ssize_t n = ::recv(ends[side], chunk, sizeof chunk, 0);
        if (n < 0) open = false;
        if (n == 0) {
          done[side] = true;
          ::shutdown(ends[1 - side], SHUT_WR);
        }
        for (ssize_t sent = 0; open && sent < n;) {
          ssize_t more =
              ::send(ends[1 - side], chunk + sent,
                     static_cast<std::size_t>(n - sent), MSG_NOSIGNAL);
          if (more <= 0) open = false;
          sent += more;
        }
      }
    }
    ::close(from);
    ::close(to);
  }

  std::string ip_;
  int to_;
  int fd_ = -1;
  int port_ = 0;
  std::atomic<bool> cut_ = false;
  std::vector<int> fillers_;
};

/// The platform's store: objects by kind and name, one revision counter,
/// conditional changes, lists and watches. Specs are kept as the text that was
/// written.
class Store {
 public:
  explicit Store(const std::string& ip)
      : listener_(ip, [this](Stream& stream) { serve(stream); }) {}

  std::string endpoint() const { return listener_.endpoint(); }

  void put(const std::string& kind, const std::string& name,
           const std::string& spec) {
    std::lock_guard lock(mutex_);
    write(kind, name, spec);
  }
  void remove(const std::string& kind, const std::string& name) {
    std::lock_guard lock(mutex_);
    auto found = objects_[kind].find(name);
    if (found == objects_[kind].end()) return;
    ++revision_;
    history_.push_back({revision_, kind, found->second.text, true});
    objects_[kind].erase(found);
    changed_.notify_all();
  }

 private:
  struct Object {
    std::uint64_t revision;
    std::string text;
  };
  struct Change {
    std::uint64_t revision;
    std::string kind;
    std::string text;
    bool deleted;
  };

  void write(const std::string& kind, const std::string& name,
             const std::string& spec) {
    ++revision_;
    std::string text = R"({"metadata":{"name":)" +
                       json::serialize(json::value(name)) + R"(,"rev":)" +
                       std::to_string(revision_) +
                       R"(,"created":1,"finalizers":[],"deleting":false},)" +
                       R"("spec":)" + spec + R"(,"status":null})";
    objects_[kind][name] = {revision_, text};
    history_.push_back({revision_, kind, text, false});
    changed_.notify_all();
  }

  static std::string parameter(const std::string& target,
                               const std::string& name) {
    std::size_t at = target.find(name + "=");
    if (at == std::string::npos) return {};
    at += name.size() + 1;
    return target.substr(at, target.find('&', at) - at);
  }

  void serve(Stream& stream) {
    while (auto request = stream.receive(3600)) {
      std::string answer = handle(*request);
      if (!stream.send(answer)) return;
    }
  }

  std::string handle(const Message& request) {
    std::string target = request.target();
    std::string path = target.substr(0, target.find('?'));
    path.erase(0, std::string("/objects/").size());
    std::size_t slash = path.find('/');
    std::string kind = path.substr(0, slash);
    std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
    std::unique_lock lock(mutex_);
    if (request.method() != "GET") return change(request, kind, name);
    if (!name.empty()) {
      auto found = objects_[kind].find(name);
      if (found == objects_[kind].end()) return response(404, "{}");
      return response(200, found->second.text);
    }
    std::string since = parameter(target, "watch");
    return since.empty() ? list(kind)
                         : watch(lock, kind, std::stoull(since),
                                 std::stod(parameter(target, "waitMs")));
  }

  std::string list(const std::string& kind) {
    std::string items;
    for (const auto& [name, object] : objects_[kind])
      items += (items.empty() ? "" : ",") + object.text;
    return response(200, R"({"items":[)" + items +
                             R"(],"hasMore":false,"asOf":)" +
                             std::to_string(revision_) + "}");
  }

  std::string watch(std::unique_lock<std::mutex>& lock, const std::string& kind,
                    std::uint64_t since, double wait_ms) {
    auto events_since = [&] {
      std::string events;
      for (const Change& change : history_) {
        if (change.kind != kind || change.revision <= since) continue;
        events += (events.empty() ? "" : ",") + std::string(R"({"object":)") +
                  change.text + R"(,"deleted":)" +
                  (change.deleted ? "true" : "false") + "}";
      }
      return events;
    };
    std::string events;
    changed_.wait_for(lock, std::chrono::duration<double>(wait_ms / 1000), [&] {
      events = events_since();
      return !events.empty();
    });
    return response(200, R"({"events":[)" + events + R"(],"asOf":)" +
                             std::to_string(revision_) + "}");
  }

  std::string change(const Message& request, const std::string& kind,
                     std::string name) {
    json::object body = json::parse(request.body).as_object();
    const json::object& metadata = body.at("metadata").as_object();
    bool create = request.method() == "POST";
    if (create) name = std::string(metadata.at("name").as_string());
    auto found = objects_[kind].find(name);
    bool exists = found != objects_[kind].end();
    if (create && exists) return response(409, found->second.text);
    if (!create && !exists) return response(404, "{}");
    const json::value* expected = metadata.if_contains("rev");
    if (!create && expected != nullptr &&
        expected->to_number<std::uint64_t>() != found->second.revision) {
      return response(409, found->second.text);
    }
    write(kind, name, json::serialize(body.at("spec")));
    return response(200, objects_[kind][name].text);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::vector<Change> history_;
  std::uint64_t revision_ = 10;
  Listener listener_;
};

/// A backend server ("instance"): works on each request for `work_s` and, if
/// its service is divided by key, holds keys under grants.
class Instance {
 public:
  Instance(const std::string& ip, std::string id, std::string service,
           std::string zone, bool keyed, Record& record, double work_s)
      : id_(std::move(id)),
        service_(std::move(service)),
        zone_(std::move(zone)),
        keyed_(keyed),
        record_(record),
        work_s_(work_s),
        keys_(keyed ? 65'536 : 0),
        listener_(ip, [this](Stream& stream) { serve(stream); }) {}

  const std::string& id() const { return id_; }
  /// A partition of which the other side answers with resets: open connections
  /// break and further ones are refused. The instance itself runs on.
  void cut_off() { listener_.stop(); }
  std::string entry(const std::string& state = "ready") const {
    return R"({"addr":")" + (address.empty() ? listener_.endpoint() : address) +
           R"(","born":1768982855592,"info":{"service":")" + service_ +
           R"(","version":"v1","zone":")" + zone_ +
           R"(","slots":4},"status":{"state":")" + state +
           R"(","seq":1,"coldLeftS":0}})";
  }
  /// Address in the entry, if it is not the instance's own.
  std::string address;
  int port() const { return listener_.port(); }
  /// Sends one second copy of the answer to a grant, late: where the answer to
  /// a release is expected on the same connection.
  std::atomic<bool> sends_extra_answer = false;
  /// Called with each grant that is carried out, before it is answered.
  std::function<void(std::uint32_t from, std::uint32_t to, std::uint64_t fence)>
      on_grant;

  /// Keys between `from` and `to` at which the instance is at work.
  std::vector<std::uint32_t> keys_at_work(std::uint32_t from,
                                          std::uint32_t to) {
    std::lock_guard lock(mutex_);
    std::vector<std::uint32_t> keys;
    for (auto it = work_.lower_bound(from); it != work_.end() && *it <= to;
         ++it) {
      keys.push_back(*it);
    }
    return keys;
  }
  /// The highest fence with which the instance has been given the key.
  std::uint64_t granted_fence(std::uint32_t key) {
    std::lock_guard lock(mutex_);
    return keys_[key].granted_fence;
  }
  /// Time until which the instance would hold the key if it had not been
  /// released.
  double hold_end(std::uint32_t key) {
    std::lock_guard lock(mutex_);
    return keys_[key].granted_until;
  }

 private:
  struct Key {
    std::uint64_t fence = 0;
    double until = 0;
    double granted_until = 0;
    std::uint64_t granted_fence = 0;
  };

  void serve(Stream& stream) {
    std::string grant_answer;
    while (auto request = stream.receive(60)) {
      std::string path = request->target();
      std::string answer;
      if (path == "/grant") {
        answer = grant_answer = order(*request, true);
      } else if (path == "/release") {
        if (!grant_answer.empty() && sends_extra_answer.exchange(false)) {
          record_.line("extra answer to a grant, late, from " + id_);
          stream.send(grant_answer);
        }
        answer = order(*request, false);
      } else {
        answer = run(*request);
      }
      if (!stream.send(answer)) return;
    }
  }

  std::string order(const Message& request, bool grant) {
    json::object body = json::parse(request.body).as_object();
    auto from = body.at("from").to_number<std::uint32_t>();
    auto to = body.at("to").to_number<std::uint32_t>();
    auto fence = body.at("fence").to_number<std::uint64_t>();
    double until = grant ? now_s() + body.at("holdS").to_number<double>() : 0;
    // Echoes the id of an order that has one, as of any request.
    std::vector<std::pair<std::string, std::string>> headers;
    if (const std::string* id = request.header("X-Eelgrasspin-Request-Id"))
      headers.emplace_back("X-Eelgrasspin-Request-Id", *id);
    std::unique_lock lock(mutex_);
    std::string text = std::string(grant ? "grant" : "release") + " " +
                       std::to_string(from) + "-" + std::to_string(to) +
                       " fence=" + std::to_string(fence) + " instance=" + id_;
    for (std::uint32_t key = from; grant && key <= to; ++key) {
      if (keys_[key].fence <= fence) continue;
      record_.line(text + " refused: a higher fence was seen");
      return response(409, "{}", headers);
    }
    record_.line(text);
    for (std::uint32_t key = from; key <= to; ++key) {
      keys_[key].fence = std::max(keys_[key].fence, fence);
      keys_[key].until = until;
      if (!grant) continue;
      keys_[key].granted_until = until;
      keys_[key].granted_fence = fence;
    }
    if (grant) {
      lock.unlock();
      if (on_grant) on_grant(from, to, fence);
      headers.emplace_back("Keep-Alive", "timeout=10");
      return response(200, "{}", headers);
    }
    // Answered when the work that was running on these keys has ended.
    work_ended_.wait(lock, [&] {
      auto next = work_.lower_bound(from);
      return next == work_.end() || *next > to;
    });
    record_.line(text + ": work has ended");
    headers.emplace_back("X-Eelgrasspin-Handover", "warm");
    return response(200, "{}", headers);
  }

  bool holds(const Message& request) {
    const std::string* key = request.header("X-Eelgrasspin-Shard-Key");
    if (key == nullptr) return false;
    std::lock_guard lock(mutex_);
    return keys_[std::stoul(*key)].until > now_s();
  }

  std::string run(const Message& request) {
    const std::string* request_id = request.header("X-Eelgrasspin-Request-Id");
    const std::string* expected =
        request.header("X-Eelgrasspin-Expect-Instance");
    if (request_id == nullptr)
      return response(400, "", {{"X-Eelgrasspin-Not-Run", "1"}});
    std::vector<std::pair<std::string, std::string>> headers = {
        {"X-Eelgrasspin-Request-Id", *request_id},
        {"X-Eelgrasspin-Instance", id_}};
    if ((expected != nullptr && *expected != id_) ||
        (keyed_ && !holds(request))) {
      headers.emplace_back("X-Eelgrasspin-Not-Run", "1");
      return response(421, "", headers);
    }
    const std::string* key = request.header("X-Eelgrasspin-Shard-Key");
    std::uint32_t work_key =
        key == nullptr ? 0 : static_cast<std::uint32_t>(std::stoul(*key));
    record_.line("run id=" + *request_id + " instance=" + id_ +
                 (key == nullptr ? "" : " key=" + *key));
    {
      std::lock_guard lock(mutex_);
      work_.insert(work_key);
    }
    sleep_s(work_s_);
    {
      std::lock_guard lock(mutex_);
      work_.erase(work_.find(work_key));
    }
    work_ended_.notify_all();
    headers.emplace_back("X-Eelgrasspin-Response-Stamp", "stamp-" + id_);
    return response(200, "body of " + *request_id, headers);
  }

  std::string id_;
  std::string service_;
  std::string zone_;
  bool keyed_;
  Record& record_;
  double work_s_;
  std::mutex mutex_;
  std::vector<Key> keys_;
  std::multiset<std::uint32_t> work_;  ///< Keys of the running requests.
  std::condition_variable work_ended_;
  Listener listener_;
};

/// The operator's configuration: a safe route, a safe route by key and an
/// unsafe route.
inline std::string configuration() {
  return R"({"version":7,"limits":{"headerBytes":16384,"bodyBytes":1000000,)"
         R"("headerTimeoutS":3,"idleTimeoutS":15},"listeners":[)"
         R"({"host":"jepu9.example","rules":[)"
         R"({"name":"ledger","kind":"safe","sloS":1.2,"priority":2,)"
         R"("match":{"prefix":"/ledger/"},"action":{"service":"ledgers",)"
         R"("timeoutS":2.5,"attempts":2}},)"
         R"({"name":"pan","kind":"safe","sloS":0.5,"priority":2,)"
         R"("match":{"prefix":"/pan/"},"action":{"service":"boards",)"
         R"("timeoutS":1,"attempts":2}},)"
         R"({"name":"dispatch","kind":"unsafe","sloS":0.6,"priority":1,)"
         R"("match":{"prefix":"/dispatch/"},"action":{"service":"books",)"
         R"("timeoutS":1.2,"attempts":2}}]}],"clusters":[)"
         R"({"name":"ledgers","healthPath":"/health","maxConns":130},)"
         R"({"name":"boards","healthPath":"/health","maxConns":130,)"
         R"("sharded":true,"warmS":3.0},)"
         R"({"name":"books","healthPath":"/health","maxConns":130}]})";
}

/// Processes that are running now, so that they can be ended on any exit.
inline std::atomic<pid_t> running_processes[32];

/// Ends the started processes and the program: the case could not run.
inline void give_up(int /*signal*/ = 0) {
  for (auto& pid : running_processes) {
    if (pid != 0) ::kill(pid, SIGKILL);
  }
  std::_Exit(2);
}

/// Gives up after a time, and on SIGTERM and SIGINT.
inline void limit_time(double seconds) {
  ::signal(SIGTERM, give_up);
  ::signal(SIGINT, give_up);
  std::thread([seconds] {
    sleep_s(seconds);
    std::cerr << "time limit reached\n";
    give_up();
  }).detach();
}

/// Routers ("daemons") of one small deployment, each on a loopback address of
/// its own, started with the command of the deploy file.
class Deployment {
 public:
  struct Daemon {
    std::string name;
    std::string ip;
    std::string zone;
    std::string settings;
    pid_t pid = 0;
  };

  Deployment(const std::string& folder, const std::string& subnet,
             const std::string& store)
      : folder_(folder), subnet_(subnet), store_(store) {
    std::string ip = subnet_ + ".1";
    front_port = free_port(ip);
    ready_port_ = free_port(ip);
    control_port_ = free_port(ip);
    peer_port_ = free_port(ip);
  }

  void add(const std::string& zone) {
    Daemon daemon;
    std::string number = std::to_string(daemons.size() + 1);
    daemon.name = "front-" + zone + "-" + number;
    daemon.ip = subnet_ + "." + number;
    daemon.zone = zone;
    daemon.settings = folder_ + "/daemon-" + number + ".conf";
    daemons.push_back(daemon);
  }

  void start(Daemon& daemon, bool bootstrap) {
    write_settings(daemon, bootstrap);
    std::string program = "target/bin/eelgrasspin-platform";
    std::string variable = "EELGRASSPIN_CONFIG=" + daemon.settings;
    std::string log = folder_ + "/" + daemon.name + ".log";
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    for (int fd : {1, 2}) {
      ::posix_spawn_file_actions_addopen(&actions, fd, log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
    }
    char* arguments[] = {program.data(), nullptr};
    char* environment[] = {variable.data(), nullptr};
    if (::posix_spawn(&daemon.pid, program.c_str(), &actions, nullptr,
                      arguments, environment) != 0) {
      std::cerr << "cannot start " << program << "\n";
      give_up();
    }
    ::posix_spawn_file_actions_destroy(&actions);
    for (auto& pid : running_processes) {
      if (pid != 0) continue;
      pid = daemon.pid;
      break;
    }
  }

  static void stop(Daemon& daemon, int signal) {
    if (daemon.pid == 0) return;
    ::kill(daemon.pid, signal);
    ::waitpid(daemon.pid, nullptr, 0);
    for (auto& pid : running_processes) {
      if (pid == daemon.pid) pid = 0;
    }
    daemon.pid = 0;
  }

  bool ready(const Daemon& daemon) const {
    auto stream = connect_to(daemon.ip, ready_port_);
    if (!stream) return false;
    stream->send("GET /ready HTTP/1.1\r\nHost: " + daemon.ip + "\r\n\r\n");
    auto answer = stream->receive(1);
    return answer && answer->status() == 200;
  }
  bool wait_until_ready(double timeout_s) const {
    for (double end = now_s() + timeout_s; now_s() < end; sleep_s(0.05)) {
      if (std::all_of(daemons.begin(), daemons.end(),
                      [this](const Daemon& daemon) { return ready(daemon); }))
        return true;
    }
    return false;
  }

  std::vector<Daemon> daemons;
  int front_port = 0;

 private:
  void write_settings(const Daemon& daemon, bool bootstrap) const {
    std::ofstream file(daemon.settings);
    file << "grants=rpc\nself.node=" << daemon.name
         << "\nself.role=router\nself.machineClass=front\nself.serves=front"
         << "\nself.ip=" << daemon.ip << "\nself.zone=" << daemon.zone
         << "\nself.region=r\nself.lossCounts=false\nself.bootstrap="
         << (bootstrap ? "true" : "false")
         << "\nself.limits.cpuShare=0.2\nself.limits.cores=1"
         << "\nself.limits.memoryMb=260\nself.limits.maxFds=4100"
         << "\nnetwork.listen.front=" << daemon.ip << ":" << front_port
         << "\nnetwork.listen.ready=" << daemon.ip << ":" << ready_port_
         << "\nnetwork.listen.control=" << daemon.ip << ":" << control_port_
         << "\nnetwork.portRange=" << peer_port_ << "," << peer_port_ + 15
         << "\nnetwork.seeds=" << subnet_ << ".1:" << control_port_ << "\n";
    for (const Daemon& other : daemons)
      file << "network.zones." << other.zone << "=r\n";
    file << "platform.discovery=platform\nplatform.entry=vip"
         << "\nplatform.heartbeatS=0.87\nplatform.platform.addr=" << store_
         << "\nplatform.platform.form=objects"
         << "\nplatform.platform.writesPerS=400"
         << "\nplatform.platform.readsPerS=2000"
         << "\nplatform.platform.retentionS=20"
         << "\nplatform.platform.maxValueBytes=1048576\n"
         << "terms.bounds.graceS=6\nterms.bounds.drainS=2\n"
         << "terms.bounds.applyS=2\nterms.bounds.recoveryS=15\n"
         << "terms.bounds.budgetRatio=0.2\nterms.bounds.budgetWindowS=10\n"
         << "terms.bounds.budgetSlack=64\nterms.bounds.holdMaxS=10\n"
         << "terms.bounds.thawSlackS=0.3\n";
  }

  std::string folder_;
  std::string subnet_;
  std::string store_;
  int ready_port_ = 0;
  int control_port_ = 0;
  int peer_port_ = 0;
};

/// A request of a client.
inline std::string request(const std::string& method, const std::string& path,
                           const std::string& id, int deadline_ms,
                           std::optional<int> key = std::nullopt,
                           const std::string& body = "") {
  std::string text =
      method + " " + path +
      " HTTP/1.1\r\nHost: jepu9.example\r\n"
      "X-Eelgrasspin-Request-Id: " +
      id + "\r\nX-Eelgrasspin-Deadline-Ms: " + std::to_string(deadline_ms) +
      "\r\n";
  if (key) text += "X-Eelgrasspin-Shard-Key: " + std::to_string(*key) + "\r\n";
  if (!body.empty())
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// A folder of its own below the temporary folder; removed at the end.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name = "/tmp/eelgrasspin-review-XXXXXX";
    if (::mkdtemp(name.data()) == nullptr) std::_Exit(2);
    path = name;
  }
  void remove() const {
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr)
      std::filesystem::remove_all(path, ignored);
  }
  std::string path;
};

/// Ends the routers and the program, without waiting for the stand-ins'
/// threads.
[[noreturn]] inline void finish(Deployment& deployment,
                                const TemporaryFolder& folder, int code) {
  for (Deployment::Daemon& daemon : deployment.daemons)
    Deployment::stop(daemon, SIGKILL);
  folder.remove();
  std::cout.flush();
  std::_Exit(code);
}

}  // namespace review

#endif  // EELGRASSPIN_REVIEW_STANDIN_HPP_
