#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <filesystem>
#include <sstream>

#include "tests/platform_processes.h"

/// Crowds of callers that hold memory or descriptors of one daemon. The daemon
/// stays within its settings and still serves an ordinary caller.
namespace eelgrasspin::platform {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kMemoryMb = 64;
constexpr std::size_t kMaxFds = 2000;
/// Descriptors that the settings reserve for files.
constexpr std::size_t kReservedFds = 200;
constexpr std::size_t kMaxBodyBytes = 64 * 1024 * 1024;
constexpr std::size_t kMissingBytes = 100;
constexpr Duration kLongestAttack = seconds(9);
constexpr int kMaxTries = 20;

/// What one connection sends, and whether it reads.
struct Attack {
  std::string head;
  std::string unit;             ///< Repeated after the head.
  std::size_t bytes = 0;        ///< To send after the head.
  std::string end;              ///< Sent last.
  std::size_t piece = 1 << 20;  ///< Bytes per write.
  Duration pause{0};            ///< Between two writes.
  bool reads = true;
};

/// Sends an attack and keeps its connection open until it is destroyed.
class HostileCaller : public std::enable_shared_from_this<HostileCaller> {
 public:
  HostileCaller(asio::io_context& io, Attack attack)
      : socket_(io), timer_(io), attack_(std::move(attack)) {
    while (block_.size() < std::min(attack_.piece, attack_.bytes))
      block_ += attack_.unit;
  }

  void start(const Endpoint& to) {
    auto address = io::parse_endpoint(to);
    error_code ignored;
    socket_.open(address->protocol(), ignored);
    // A small window, so that unread answers stay at the sender.
    if (!attack_.reads)
      socket_.set_option(asio::socket_base::receive_buffer_size(4096), ignored);
    socket_.async_connect(*address,
                          [self = shared_from_this()](error_code failed) {
                            if (failed) return self->end();
                            if (self->attack_.reads) self->read();
                            self->write(asio::buffer(self->attack_.head), 0);
                          });
  }

  bool finished() const { return finished_; }
  void close() {
    error_code ignored;
    closed_ = true;
    timer_.cancel();
    socket_.close(ignored);
  }

 private:
  void end() { finished_ = true; }

  void write(asio::const_buffer bytes, std::size_t body_bytes) {
    asio::async_write(socket_, bytes,
                      [self = shared_from_this(), body_bytes](error_code failed,
                                                              std::size_t) {
                        if (failed || self->closed_) return self->end();
                        self->sent_ += body_bytes;
                        self->pause_or_send();
                      });
  }

  void pause_or_send() {
    if (attack_.pause.count() == 0) return send_piece();
    timer_.expires_after(attack_.pause);
    timer_.async_wait([self = shared_from_this()](error_code failed) {
      if (!failed) self->send_piece();
    });
  }

  void send_piece() {
    std::size_t left = attack_.bytes - sent_;
    if (left > 0) {
      std::size_t count = std::min(left, block_.size());
      return write(asio::buffer(block_.data(), count), count);
    }
    if (attack_.end.empty() || std::exchange(end_sent_, true)) return end();
    write(asio::buffer(attack_.end), 0);
  }

  void read() {
    socket_.async_read_some(
        asio::buffer(received_),
        [self = shared_from_this()](error_code failed, std::size_t) {
          if (!failed && !self->closed_) self->read();
        });
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  Attack attack_;
  std::string block_;
  std::array<char, 4096> received_{};
  std::size_t sent_ = 0;
  bool end_sent_ = false;
  bool finished_ = false;
  bool closed_ = false;
};

std::string head_of(const std::string& id, const std::string& fields) {
  return "POST /o/x HTTP/1.1\r\nHost: h\r\n" + std::string(kRequestIdHeader) +
         ": " + id + "\r\n" + kDeadlineMsHeader + ": 2000\r\n" + fields +
         "\r\n\r\n";
}

/// A body with a length; it ends short of it by `missing` bytes.
Attack sized_body(int number, std::size_t bytes, std::size_t missing) {
  Attack attack;
  attack.head = head_of("sized-" + std::to_string(number),
                        "Content-Length: " + std::to_string(bytes));
  attack.unit = std::string(4096, 'x');
  attack.bytes = bytes - missing;
  return attack;
}

/// A body of whole chunks; only with `complete` does it have its last chunk.
Attack chunked_body(int number, std::size_t chunk, std::size_t chunks,
                    bool complete) {
  std::ostringstream size;
  size << std::hex << chunk;
  Attack attack;
  attack.head = head_of("chunked-" + std::to_string(number),
                        "Transfer-Encoding: chunked");
  attack.unit = size.str() + "\r\n" + std::string(chunk, 'x') + "\r\n";
  attack.bytes = attack.unit.size() * chunks;
  // A block of whole units, so that its repetition keeps the framing.
  attack.piece = std::max<std::size_t>(1, attack.piece / attack.unit.size()) *
                 attack.unit.size();
  if (complete) attack.end = "0\r\n\r\n";
  return attack;
}

class HostileCallers : public PlatformProcesses {
 protected:
  ~HostileCallers() override {
    for (const auto& caller : crowd_) caller->close();
    run_until([] { return false; }, milliseconds(50));
  }

  Process& start_limited(int number, std::size_t max_fds = kMaxFds) {
    std::string configuration = kConfiguration;
    const std::string small = "\"bodyBytes\":1000000";
    configuration.replace(configuration.find(small), small.size(),
                          "\"bodyBytes\":" + std::to_string(kMaxBodyBytes));
    store_.put(kConfigKind, kActiveConfigName, configuration);
    Process& process = start(
        number, "self.limits.memoryMb=" + std::to_string(kMemoryMb) +
                    "\nself.limits.maxFds=" + std::to_string(max_fds) + "\n");
    EXPECT_TRUE(become_ready(process));
    return process;
  }

  static std::size_t open_descriptors(const Process& process) {
    std::filesystem::path directory("/proc/" + std::to_string(process.pid) +
                                    "/fd");
    std::error_code failed;
    std::filesystem::directory_iterator entries(directory, failed);
    if (failed) return 0;
    return static_cast<std::size_t>(
        std::distance(begin(entries), end(entries)));
  }

  static bool alive(const Process& process) {
    return ::waitpid(process.pid, nullptr, WNOHANG) == 0;
  }

  /// Runs the attacks until each has been sent or ended by the daemon.
  void run_attacks(const Process& process, std::vector<Attack> attacks) {
    for (Attack& attack : attacks) {
      crowd_.push_back(std::make_shared<HostileCaller>(io_, std::move(attack)));
      crowd_.back()->start(callers(process));
    }
    TimePoint next_count = io::steady_now();
    run_until(
        [&] {
          if (io::steady_now() >= next_count) {
            most_descriptors_ =
                std::max(most_descriptors_, open_descriptors(process));
            next_count = io::steady_now() + milliseconds(100);
          }
          return std::all_of(
              crowd_.begin(), crowd_.end(),
              [](const auto& caller) { return caller->finished(); });
        },
        kLongestAttack);
    run_until([] { return false; }, milliseconds(300));
  }

  /// The checks that are the same for every attack. The crowd stays connected.
  void expect_served(const Process& process, std::size_t max_fds = kMaxFds,
                     int max_tries = kMaxTries) {
    constexpr std::size_t kOrdinaryBodyBytes = 100'000;
    ASSERT_TRUE(alive(process));
    bool served = false;
    for (int i = 0; i < max_tries && !served; ++i) {
      io::HttpRequest request = once("ordinary-" + std::to_string(i));
      request.body.assign(kOrdinaryBodyBytes, 'x');
      served = status(callers(process), request) == 200;
      if (!served) run_until([] { return false; }, milliseconds(100));
    }
    EXPECT_TRUE(served);
    EXPECT_TRUE(alive(process));
    most_descriptors_ = std::max(most_descriptors_, open_descriptors(process));
    EXPECT_LT(most_descriptors_, max_fds - kReservedFds);
    EXPECT_LT(peak_memory_kb(process), kMemoryMb * 1024);
    RecordProperty("peak_kb", std::to_string(peak_memory_kb(process)));
    RecordProperty("descriptors", std::to_string(most_descriptors_));
    std::printf("peak %zu KB, descriptors %zu, served %d\n",
                peak_memory_kb(process), most_descriptors_, served ? 1 : 0);
  }

  std::vector<std::shared_ptr<HostileCaller>> crowd_;
  std::size_t most_descriptors_ = 0;
};

constexpr int kFillers = 100;
constexpr std::size_t kFillerBytes = 70'000;

/// Bodies that take what larger ones have left of the memory.
std::vector<Attack> filling_bodies() {
  std::vector<Attack> attacks;
  attacks.reserve(kFillers);
  for (int i = 0; i < kFillers; ++i)
    attacks.push_back(sized_body(i, kFillerBytes, kMissingBytes));
  return attacks;
}

constexpr int kLargeBodies = 40;
constexpr std::size_t kLargeBodyBytes = 4 * 1024 * 1024;
/// One body in this many is complete.
constexpr int kCompleteEvery = 4;

// Guards against bodies of legal size that hold the memory without an end.
TEST_F(HostileCallers, LargeBodiesThatStopShortOfTheirEnd) {
  Process& process = start_limited(21);
  std::vector<Attack> attacks;
  attacks.reserve(kLargeBodies);
  for (int i = 0; i < kLargeBodies; ++i) {
    attacks.push_back(sized_body(i, kLargeBodyBytes,
                                 i % kCompleteEvery == 0 ? 0 : kMissingBytes));
  }
  run_attacks(process, std::move(attacks));
  run_attacks(process, filling_bodies());
  expect_served(process);
}

// Guards against the same bodies when none of them looks stalled for long.
TEST_F(HostileCallers, LargeBodiesSentPieceByPiece) {
  Process& process = start_limited(22);
  std::vector<Attack> attacks;
  attacks.reserve(kLargeBodies);
  for (int i = 0; i < kLargeBodies; ++i) {
    attacks.push_back(sized_body(i, kLargeBodyBytes,
                                 i % kCompleteEvery == 0 ? 0 : kMissingBytes));
    attacks.back().piece = 16 * 1024;
    attacks.back().pause = milliseconds(4);
  }
  run_attacks(process, std::move(attacks));
  run_attacks(process, filling_bodies());
  expect_served(process);
}

// Guards against a memory limit that bodies below some size do not count for.
TEST_F(HostileCallers, MidSizeBodiesThatStopShortOfTheirEnd) {
  constexpr int kBodies = 1000;
  constexpr std::size_t kBodyBytes = 63'000;
  Process& process = start_limited(23);
  std::vector<Attack> attacks;
  attacks.reserve(kBodies);
  for (int i = 0; i < kBodies; ++i)
    attacks.push_back(sized_body(i, kBodyBytes, kMissingBytes));
  run_attacks(process, std::move(attacks));
  expect_served(process);
}

// Guards against reading a body whose declared length is over the limit.
TEST_F(HostileCallers, BodiesDeclaredOverTheLimit) {
  constexpr int kBodies = 60;
  constexpr std::size_t kDeclaredBytes = std::size_t{1} << 30;
  constexpr std::size_t kSentBytes = 8 * 1024 * 1024;
  Process& process = start_limited(24);
  std::vector<Attack> attacks;
  attacks.reserve(kBodies);
  for (int i = 0; i < kBodies; ++i) {
    attacks.push_back(
        sized_body(i, kDeclaredBytes, kDeclaredBytes - kSentBytes));
  }
  run_attacks(process, std::move(attacks));
  expect_served(process);
}

// Guards against bodies that pass the limit without having declared it.
TEST_F(HostileCallers, BodiesSentOverTheLimit) {
  constexpr int kBodies = 12;
  constexpr std::size_t kChunkBytes = 64 * 1024;
  constexpr std::size_t kChunks = 1200;
  Process& process = start_limited(25);
  std::vector<Attack> attacks;
  attacks.reserve(kBodies);
  for (int i = 0; i < kBodies; ++i)
    attacks.push_back(chunked_body(i, kChunkBytes, kChunks, true));
  run_attacks(process, std::move(attacks));
  expect_served(process);
}

// Guards against chunked bodies that hold the memory without an end.
TEST_F(HostileCallers, LargeChunksThatStopShortOfTheEnd) {
  constexpr std::size_t kChunkBytes = 64 * 1024;
  Process& process = start_limited(26);
  std::vector<Attack> attacks;
  attacks.reserve(kLargeBodies);
  for (int i = 0; i < kLargeBodies; ++i) {
    attacks.push_back(chunked_body(i, kChunkBytes,
                                   kLargeBodyBytes / kChunkBytes,
                                   i % kCompleteEvery == 0));
  }
  run_attacks(process, std::move(attacks));
  run_attacks(process, filling_bodies());
  expect_served(process);
}

// Guards against chunks whose framing costs more than their bytes.
TEST_F(HostileCallers, ChunksOfOneByteThatStopShortOfTheEnd) {
  constexpr int kBodies = 120;
  constexpr std::size_t kChunks = 250'000;
  Process& process = start_limited(27);
  std::vector<Attack> attacks;
  attacks.reserve(kBodies);
  for (int i = 0; i < kBodies; ++i)
    attacks.push_back(chunked_body(i, 1, kChunks, i % kCompleteEvery == 0));
  run_attacks(process, std::move(attacks));
  run_attacks(process, filling_bodies());
  expect_served(process);
}

// Guards against answers that are held in full for callers that do not read.
TEST_F(HostileCallers, LargeAnswersThatAreNotRead) {
  constexpr int kCallers = 80;
  constexpr int kRequestsEach = 4;
  constexpr std::size_t kAnswerBytes = 1024 * 1024;
  Process& process = start_limited(28);
  for (const auto& book : books_) book->answer_bytes = kAnswerBytes;
  for (int round = 0; round < kCallers / 4; ++round) {
    std::vector<Attack> attacks;
    for (int i = 0; i < 4; ++i) {
      Attack attack;
      attack.reads = false;
      for (int n = 0; n < kRequestsEach; ++n) {
        attack.head += head_of("unread-" + std::to_string(round) + "-" +
                                   std::to_string(i) + "-" + std::to_string(n),
                               "Content-Length: 0");
      }
      attacks.push_back(std::move(attack));
    }
    run_attacks(process, std::move(attacks));
  }
  for (const auto& book : books_) book->answer_bytes = 0;
  expect_served(process);
}

// Guards against connections that hold descriptors or buffers without sending
// a request.
TEST_F(HostileCallers, ConnectionsWithoutACompleteHeader) {
  constexpr std::size_t kFewFds = 700;
  constexpr int kCallers = 900;
  Process& process = start_limited(29, kFewFds);
  std::vector<Attack> attacks;
  attacks.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    Attack attack;
    attack.head = "POST /o/x HTTP/1.1\r\nHost: h\r\n";
    if (i % 3 == 0) attack.head = "P";
    if (i % 3 == 1) attack.head += "X-Long: " + std::string(15'000, 'x');
    attacks.push_back(std::move(attack));
  }
  run_attacks(process, std::move(attacks));
  expect_served(process, kFewFds);
}

// Guards against an accept loop that ends, or runs without pause, when the
// process has no descriptor left.
TEST_F(HostileCallers, ConnectionsBeyondTheSystemsDescriptorLimit) {
  constexpr rlim_t kSystemLimit = 150;
  constexpr int kCallers = 300;
  Process& process = start_limited(30);
  rlimit limit{kSystemLimit, kSystemLimit};
  ASSERT_EQ(::prlimit(process.pid, RLIMIT_NOFILE, &limit, nullptr), 0);
  std::vector<Attack> attacks(kCallers);
  for (Attack& attack : attacks) attack.head = "P";
  run_attacks(process, std::move(attacks));
  // Fewer tries than the time after which the daemon gives up on the crowd.
  constexpr int kFewTries = 3;
  expect_served(process, kMaxFds, kFewTries);
}

}  // namespace
}  // namespace eelgrasspin::platform
