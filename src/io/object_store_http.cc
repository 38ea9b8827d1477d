#include "io/object_store_http.h"

#include <boost/json.hpp>

#include "codec/message_json.h"
#include "codec/record_json.h"

namespace eelgrasspin::io {
namespace {

namespace json = boost::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

StoreResult unavailable_result(const HttpResult& result) {
  if (const auto* failure = std::get_if<HttpFailure>(&result)) {
    return StoreUnavailable{failure->why};
  }
  return StoreUnavailable{
      "status " + std::to_string(std::get<HttpResponse>(result).status)};
}

std::optional<Version> version_header(const HttpResponse& response,
                                      std::string_view name) {
  auto number = number_header(response.headers, name);
  if (!number) return std::nullopt;
  return Version(*number);
}

StoreEntry decode_entry(const StoreKey& key, Version version,
                        std::string_view text) {
  if (text.empty()) return {key, version, std::monostate()};
  return {key, version, codec::decode_record(key, text)};
}

StoreResult read_result(const StoreKey& key, const HttpResult& result) {
  const auto* response = std::get_if<HttpResponse>(&result);
  if (response == nullptr) return unavailable_result(result);
  auto revision = version_header(*response, "store-revision");
  if (!revision) return unavailable_result(result);
  if (response->status == kNotFound) {
    Version version =
        version_header(*response, "store-version").value_or(Version(0));
    return StoreRead{*revision, {{key, version, std::monostate()}}};
  }
  auto version = version_header(*response, "store-version");
  if (response->status != kOk || !version) return unavailable_result(result);
  return StoreRead{*revision, {decode_entry(key, *version, response->body)}};
}

StoreResult write_result(const StoreKey& key, const HttpResult& result) {
  const auto* response = std::get_if<HttpResponse>(&result);
  if (response == nullptr) return unavailable_result(result);
  auto version = version_header(*response, "store-version");
  if (!version) return unavailable_result(result);
  if (response->status == kOk) return StoreWritten{*version};
  if (response->status == kConflict) {
    return StoreConflict{decode_entry(key, *version, response->body)};
  }
  return unavailable_result(result);
}

std::optional<StoreEntry> decode_list_item(const json::value& item) {
  const json::object* object = item.if_object();
  if (object == nullptr) return std::nullopt;
  const json::value* key = object->if_contains("key");
  const json::value* version = object->if_contains("version");
  const json::value* text = object->if_contains("value");
  if (key == nullptr || version == nullptr || text == nullptr ||
      !key->is_string() || !text->is_string() || !version->is_int64()) {
    return std::nullopt;
  }
  std::string_view key_text = key->get_string();
  StoreKey store_key(key_text);
  Version number(static_cast<std::uint64_t>(version->get_int64()));
  return decode_entry(store_key, number, text->get_string());
}

StoreResult list_result(const HttpResult& result) {
  const auto* response = std::get_if<HttpResponse>(&result);
  if (response == nullptr || response->status != kOk)
    return unavailable_result(result);
  auto revision = version_header(*response, "store-revision");
  if (!revision) return unavailable_result(result);
  boost::system::error_code failed;
  json::value parsed = json::parse(response->body, failed);
  if (failed || !parsed.is_array()) return StoreUnavailable{"unreadable list"};
  StoreRead read{*revision, {}};
  for (const json::value& item : parsed.get_array()) {
    auto entry = decode_list_item(item);
    if (!entry) return StoreUnavailable{"unreadable list"};
    read.entries.push_back(std::move(*entry));
  }
  return read;
}

std::string make_target(std::string_view path, const StoreKey& key) {
  return std::string(path) + percent_encode(key.str());
}

}  // namespace

ObjectStoreHttp::ObjectStoreHttp(boost::asio::io_context& io,
                                 const Endpoint& endpoint)
    : call_client_(io, endpoint), watch_client_(io, endpoint) {}

void ObjectStoreHttp::read(const StoreKey& key, Callback done) {
  call_client_.call({"GET", make_target("/store/", key), {}, {}, {}},
                    config::kStoreTimeout,
                    [key, done = std::move(done)](const HttpResult& result) {
                      done(read_result(key, result));
                    });
}

void ObjectStoreHttp::list(const StoreKey& prefix, Callback done) {
  call_client_.call({"GET", make_target("/list?prefix=", prefix), {}, {}, {}},
                    config::kStoreTimeout,
                    [done = std::move(done)](const HttpResult& result) {
                      done(list_result(result));
                    });
}

void ObjectStoreHttp::write(const StoreKey& key, Version expected,
                            const Record& record, Callback done) {
  HeaderFields headers = {{"If-Version", std::to_string(expected.value)}};
  call_client_.call({"PUT",
                     make_target("/store/", key),
                     std::move(headers),
                     codec::encode_record(record),
                     {}},
                    config::kStoreTimeout,
                    [key, done = std::move(done)](const HttpResult& result) {
                      done(write_result(key, result));
                    });
}

void ObjectStoreHttp::watch(const StoreKey& prefix, Version since,
                            Duration wait, Callback done) {
  std::string query = make_target("/watch?prefix=", prefix) +
                      "&since=" + std::to_string(since.value) +
                      "&wait_ms=" + std::to_string(to_ms(wait));
  watch_client_.call({"GET", std::move(query), {}, {}, {}},
                     wait + config::kStoreTimeout,
                     [done = std::move(done)](const HttpResult& result) {
                       done(list_result(result));
                     });
}

VmListHttp::VmListHttp(boost::asio::io_context& io, const Endpoint& endpoint)
    : client_(io, endpoint) {}

void VmListHttp::list(Callback done) {
  client_.call({"GET", "/vms", {}, {}, {}}, config::kStoreTimeout,
               [done = std::move(done)](const HttpResult& result) {
                 const auto* response = std::get_if<HttpResponse>(&result);
                 if (response == nullptr || response->status != kOk) {
                   return done(Error{ErrorCode::kUnavailable, "no VM list"});
                 }
                 done(codec::decode_vms(response->body));
               });
}

}  // namespace eelgrasspin::io
