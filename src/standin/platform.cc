#include "standin/platform.h"

#include <boost/json.hpp>
#include <sstream>
#include <vector>

#include "codec/message_json.h"
#include "eelgrasspin/config.h"
#include "io/http_client.h"

namespace eelgrasspin::standin {

namespace json = boost::json;
using io::HttpRequest;
using io::HttpResponse;

namespace {

constexpr std::string_view kStorePrefix = "/store/";
constexpr std::size_t kMaxValueBytes = config::kStoreValueMaxBytes;

HttpResponse text(int status, std::string body) {
  return {status, {{"Content-Type", "text/plain"}}, std::move(body), false};
}

void add_number(HttpResponse& answer, const char* name, std::uint64_t number) {
  answer.headers.emplace_back(name, std::to_string(number));
}

std::optional<VmState> parse_vm_state(std::string_view word) {
  if (word == "live") return VmState::kLive;
  if (word == "leaving") return VmState::kLeaving;
  if (word == "gone") return VmState::kGone;
  return std::nullopt;
}

Error unknown_control_line(const std::string& line) {
  return {ErrorCode::kInvalid, "unknown control line \"" + line + "\""};
}

}  // namespace

Platform::Platform(boost::asio::io_context& io)
    : io_(io),
      server_(io, {.max_body_bytes = 2 * kMaxValueBytes},
              [this](const Exchange& exchange) { handle(exchange); }) {}

Platform::~Platform() { watches_.clear(); }

std::optional<Error> Platform::listen(const Endpoint& endpoint) {
  return server_.listen(endpoint);
}

void Platform::set_rate_limits(std::uint32_t reads, std::uint32_t writes) {
  read_rate_.limit = reads;
  write_rate_.limit = writes;
}

bool Platform::is_within_rate(RateWindow& window) {
  if (window.limit == 0) return true;
  TimePoint now = io::steady_now();
  if (now - window.start >= seconds(1)) window = {now, 0, window.limit};
  if (++window.count <= window.limit) return true;
  ++stats_.limited;
  return false;
}

void Platform::handle(const Exchange& exchange) {
  const HttpRequest& request = exchange->request();
  std::string_view path = io::path_of(request.target);
  if (path == "/-/control") return handle_control(exchange);
  if (path == "/-/vms") return handle_set_vms(exchange);
  if (path == "/-/stats") {
    json::object stats = {
        {"reads", stats_.reads},          {"lists", stats_.lists},
        {"writes", stats_.writes},        {"watches", stats_.watches},
        {"vm_lists", stats_.vm_lists},    {"conflicts", stats_.conflicts},
        {"limited", stats_.limited},      {"revision", revision_},
        {"open_watches", watches_.size()}};
    return exchange->answer(text(200, json::serialize(stats) + "\n"));
  }
  if (outage_ == Outage::kSilent) return;
  if (outage_ == Outage::kRefusing) {
    return exchange->answer(text(503, "outage\n"));
  }
  handle_store_call(exchange);
}

void Platform::handle_store_call(const Exchange& exchange) {
  const HttpRequest& request = exchange->request();
  std::string path(io::path_of(request.target));
  if (path == "/vms") return handle_vms(exchange);
  bool writes = request.method == "PUT";
  if (!is_within_rate(writes ? write_rate_ : read_rate_)) {
    return exchange->answer(text(429, "too many calls\n"));
  }
  if (path == "/list") return handle_list(exchange);
  if (path == "/watch") return handle_watch(exchange);
  if (!path.starts_with(kStorePrefix)) {
    return exchange->answer(text(404, "no such path\n"));
  }
  std::string key = io::percent_decode(path.substr(kStorePrefix.size()));
  if (writes) return handle_write(exchange, key);
  handle_read(exchange, key);
}

void Platform::answer(const Exchange& exchange, HttpResponse answer) {
  if (delay_ == Duration(0)) return exchange->answer(std::move(answer));
  auto timer = std::make_shared<boost::asio::steady_timer>(io_, delay_);
  timer->async_wait([timer, exchange, answer = std::move(answer)](
                        boost::system::error_code failed) mutable {
    if (!failed) exchange->answer(std::move(answer));
  });
}

void Platform::handle_read(const Exchange& exchange, const std::string& key) {
  ++stats_.reads;
  auto found = values_.find(key);
  bool present = found != values_.end() && !found->second.text.empty();
  HttpResponse result =
      text(present ? 200 : 404, present ? found->second.text : std::string());
  if (found != values_.end()) {
    add_number(result, "Store-Version", found->second.version);
  }
  add_number(result, "Store-Revision", revision_);
  answer(exchange, std::move(result));
}

void Platform::handle_write(const Exchange& exchange, const std::string& key) {
  ++stats_.writes;
  const HttpRequest& request = exchange->request();
  auto expected = io::number_header(request.headers, "if-version");
  if (!expected || request.body.size() > kMaxValueBytes) {
    return exchange->answer(text(400, "If-Version missing or value too big\n"));
  }
  Value& value = values_[key];
  // A deleted key matches version 0, and the version of its deletion.
  bool absent = value.text.empty() && *expected == 0;
  if (!absent && *expected != value.version) {
    ++stats_.conflicts;
    HttpResponse conflict = text(409, value.text);
    add_number(conflict, "Store-Version", value.version);
    add_number(conflict, "Store-Revision", revision_);
    return answer(exchange, std::move(conflict));
  }
  value = {++revision_, request.body};
  notify_watches(key);
  if (answers_to_lose_ > 0) {
    --answers_to_lose_;
    return exchange->abort();
  }
  HttpResponse written = text(200, {});
  add_number(written, "Store-Version", revision_);
  add_number(written, "Store-Revision", revision_);
  answer(exchange, std::move(written));
}

HttpResponse Platform::list_answer(const std::string& prefix,
                                   std::uint64_t since,
                                   bool with_deleted) const {
  json::array items;
  for (auto it = values_.lower_bound(prefix);
       it != values_.end() && it->first.starts_with(prefix); ++it) {
    const Value& value = it->second;
    if (value.version <= since) continue;
    if (value.text.empty() && !with_deleted) continue;
    items.push_back(json::object{
        {"key", it->first}, {"version", value.version}, {"value", value.text}});
  }
  HttpResponse result{200,
                      {{"Content-Type", "application/json"}},
                      json::serialize(items),
                      false};
  add_number(result, "Store-Revision", revision_);
  return result;
}

void Platform::handle_list(const Exchange& exchange) {
  ++stats_.lists;
  std::string prefix =
      io::query_parameter(exchange->request().target, "prefix");
  answer(exchange, list_answer(prefix, 0, false));
}

void Platform::handle_watch(const Exchange& exchange) {
  ++stats_.watches;
  const std::string& target = exchange->request().target;
  std::string prefix = io::query_parameter(target, "prefix");
  auto since = io::parse_number(io::query_parameter(target, "since"));
  auto wait = io::parse_number(io::query_parameter(target, "wait_ms"));
  if (!since || !wait) return exchange->answer(text(400, "bad watch\n"));
  for (auto it = values_.lower_bound(prefix);
       it != values_.end() && it->first.starts_with(prefix); ++it) {
    if (it->second.version > *since) {
      return answer(exchange, list_answer(prefix, *since, true));
    }
  }
  auto timeout = std::make_shared<boost::asio::steady_timer>(
      io_, std::chrono::milliseconds(*wait));
  watches_.push_back({prefix, *since, exchange, timeout});
  std::weak_ptr<bool> alive = alive_;
  auto remove_watch = [this, alive, exchange = std::weak_ptr(exchange)] {
    if (alive.expired()) return;
    std::erase_if(watches_, [&](const Watch& watch) {
      return watch.exchange == exchange.lock();
    });
  };
  exchange->on_abandoned(remove_watch);
  timeout->async_wait([this, alive, remove_watch, prefix, since = *since,
                       exchange](boost::system::error_code failed) {
    if (failed || alive.expired()) return;
    exchange->answer(list_answer(prefix, since, true));
    remove_watch();
  });
}

void Platform::notify_watches(const std::string& key) {
  std::vector<Watch> matching_watches;
  for (auto it = watches_.begin(); it != watches_.end();) {
    if (!key.starts_with(it->prefix)) {
      ++it;
      continue;
    }
    matching_watches.push_back(std::move(*it));
    it = watches_.erase(it);
  }
  for (Watch& watch : matching_watches) {
    watch.timeout->cancel();
    if (outage_ == Outage::kNone) {
      answer(watch.exchange, list_answer(watch.prefix, watch.since, true));
    }
  }
}

void Platform::set_vm(const std::string& name, VmState state) {
  if (vm_lag_ == Duration(0)) {
    vms_[name] = state;
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(io_, vm_lag_);
  timer->async_wait([this, alive = std::weak_ptr(alive_), timer, name,
                     state](boost::system::error_code failed) {
    if (!failed && !alive.expired()) vms_[name] = state;
  });
}

void Platform::handle_vms(const Exchange& exchange) {
  ++stats_.vm_lists;
  std::vector<VmEntry> vms;
  for (const auto& [name, state] : vms_) vms.push_back({name, state});
  answer(exchange, {200,
                    {{"Content-Type", "application/json"}},
                    codec::encode_vms(vms),
                    false});
}

void Platform::handle_set_vms(const Exchange& exchange) {
  std::istringstream lines(exchange->request().body);
  std::string name;
  std::string word;
  while (lines >> name >> word) {
    auto state = parse_vm_state(word);
    if (!state) return exchange->answer(text(400, "unknown state\n"));
    set_vm(name, *state);
  }
  exchange->answer(text(200, "ok\n"));
}

void Platform::handle_control(const Exchange& exchange) {
  std::istringstream lines(exchange->request().body);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.empty()) continue;
    if (auto error_found = apply_control_line(line)) {
      return exchange->answer(text(400, error_found->message + "\n"));
    }
  }
  exchange->answer(text(200, "ok\n"));
}

std::optional<Error> Platform::apply_control_line(const std::string& line) {
  std::istringstream words(line);
  std::string verb;
  std::string first;
  std::string second;
  words >> verb >> first >> second;
  auto number = io::parse_number(first);
  auto other = io::parse_number(second);
  if (verb == "outage" && first == "on") {
    outage_ = Outage::kRefusing;
  } else if (verb == "outage" && first == "silent") {
    outage_ = Outage::kSilent;
  } else if (verb == "outage" && first == "off") {
    outage_ = Outage::kNone;
  } else if (verb == "lose_answers" && number) {
    lose_answers(static_cast<std::uint32_t>(*number));
  } else if (verb == "slow" && number) {
    set_delay(milliseconds(*number));
  } else if (verb == "vm_lag" && number) {
    set_vm_lag(milliseconds(*number));
  } else if (verb == "rate_limits" && number && other) {
    set_rate_limits(static_cast<std::uint32_t>(*number),
                    static_cast<std::uint32_t>(*other));
  } else {
    return unknown_control_line(line);
  }
  return std::nullopt;
}

}  // namespace eelgrasspin::standin
