#ifndef EELGRASSPIN_CODEC_JSON_P_H_
#define EELGRASSPIN_CODEC_JSON_P_H_

#include <array>
#include <boost/json.hpp>
#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "eelgrasspin/ids.h"
#include "eelgrasspin/units.h"

/// Private to src/codec: converts plain structs to and from JSON. A struct
/// lists its members once, in `fields(archive, value)`, where the archive is
/// one of the writers or readers below.
namespace eelgrasspin::codec {

namespace json = boost::json;

/// First error found while decoding; empty if there is none.
struct Failure {
  std::string message;

  bool failed() const { return !message.empty(); }
  void set(std::string text) {
    if (message.empty()) message = std::move(text);
  }
  /// Prefixes the message with the field in which the error was found.
  void prepend_location(std::string_view location) {
    message = std::string(location) + ": " + message;
  }
};

/// `T` for an archive that reads into the value, `const T` for one that writes
/// it.
template <class Archive, class T>
using ConstIfWriting = std::conditional_t<Archive::kReading, T, const T>;

/// Whether a struct is encoded as an array of its field values, without names.
template <class T>
inline constexpr bool kWrittenAsArray = false;

/// Last enumerator of an enumeration; greater numbers are rejected.
template <class E>
struct LastEnumerator;

/// The value of "type" in the JSON of a variant's alternative.
template <class T>
struct TypeName;

/// JSON form of one type: encode() writes it, decode() reads it.
template <class T>
struct Json;

template <class T>
json::value to_json(const T& value) {
  return Json<T>::encode(value);
}

template <class T>
void from_json(const json::value& value, T& out, Failure& failure) {
  if (!failure.failed()) Json<T>::decode(value, out, failure);
}

class ObjectWriter {
 public:
  static constexpr bool kReading = false;

  explicit ObjectWriter(json::object& object) : object_(object) {}
  template <class T>
  void operator()(std::string_view name, const T& value) {
    object_.emplace(name, to_json(value));
  }
  template <class T>
  void optional_field(std::string_view name, const T& value) {
    (*this)(name, value);
  }

 private:
  json::object& object_;
};

class ArrayWriter {
 public:
  static constexpr bool kReading = false;

  explicit ArrayWriter(json::array& row) : row_(row) {}
  template <class T>
  void operator()(std::string_view, const T& value) {
    row_.push_back(to_json(value));
  }
  template <class T>
  void optional_field(std::string_view name, const T& value) {
    (*this)(name, value);
  }

 private:
  json::array& row_;
};

class ObjectReader {
 public:
  static constexpr bool kReading = true;

  ObjectReader(const json::object& object, Failure& failure)
      : object_(object), failure_(failure) {}
  template <class T>
  void operator()(std::string_view name, T& out) {
    read(name, out, true);
  }
  /// A field that older versions do not write; `out` is unchanged if it is
  /// missing.
  template <class T>
  void optional_field(std::string_view name, T& out) {
    read(name, out, false);
  }

 private:
  template <class T>
  void read(std::string_view name, T& out, bool required) {
    if (failure_.failed()) return;
    const json::value* value = object_.if_contains(name);
    if (value != nullptr) {
      from_json(*value, out, failure_);
    } else if (required) {
      failure_.set("missing");
    }
    if (failure_.failed()) failure_.prepend_location(name);
  }

  const json::object& object_;
  Failure& failure_;
};

class ArrayReader {
 public:
  static constexpr bool kReading = true;

  ArrayReader(const json::array& row, Failure& failure)
      : row_(row), failure_(failure) {}
  template <class T>
  void operator()(std::string_view name, T& out) {
    read(name, out, true);
  }
  template <class T>
  void optional_field(std::string_view name, T& out) {
    read(name, out, false);
  }

 private:
  template <class T>
  void read(std::string_view name, T& out, bool required) {
    if (failure_.failed()) return;
    if (next_ < row_.size()) {
      from_json(row_[next_], out, failure_);
    } else if (required) {
      failure_.set("missing");
    }
    ++next_;
    if (failure_.failed()) failure_.prepend_location(name);
  }

  const json::array& row_;
  std::size_t next_ = 0;
  Failure& failure_;
};

/// Default for structs that have fields().
template <class T>
struct Json {
  static json::value encode(const T& value) {
    if constexpr (kWrittenAsArray<T>) {
      json::array row;
      ArrayWriter writer(row);
      fields(writer, value);
      return row;
    } else {
      json::object object;
      ObjectWriter writer(object);
      fields(writer, value);
      return object;
    }
  }

  static void decode(const json::value& value, T& out, Failure& failure) {
    if constexpr (kWrittenAsArray<T>) {
      const json::array* row = value.if_array();
      if (row == nullptr) return failure.set("not an array");
      ArrayReader reader(*row, failure);
      fields(reader, out);
    } else {
      const json::object* object = value.if_object();
      if (object == nullptr) return failure.set("not an object");
      ObjectReader reader(*object, failure);
      fields(reader, out);
    }
  }
};

template <>
struct Json<bool> {
  static json::value encode(bool value) { return value; }
  static void decode(const json::value& value, bool& out, Failure& failure) {
    if (const bool* found = value.if_bool()) {
      out = *found;
    } else {
      failure.set("not a boolean");
    }
  }
};

template <std::integral T>
struct Json<T> {
  static json::value encode(T value) { return value; }
  static void decode(const json::value& value, T& out, Failure& failure) {
    boost::system::error_code code;
    if (value.is_int64() || value.is_uint64()) {
      T number = value.to_number<T>(code);
      if (!code) {
        out = number;
        return;
      }
    }
    failure.set("not an integer in range");
  }
};

/// Used for rates and weights; with Boost.JSON the last digit may differ after
/// a round trip.
template <>
struct Json<double> {
  static json::value encode(double value) { return value; }
  static void decode(const json::value& value, double& out, Failure& failure) {
    if (!value.is_number()) return failure.set("not a number");
    out = value.to_number<double>();
  }
};

template <class E>
requires std::is_enum_v<E>
struct Json<E> {
  using Rep = std::uint64_t;
  static json::value encode(E value) { return static_cast<Rep>(value); }
  static void decode(const json::value& value, E& out, Failure& failure) {
    Rep number = 0;
    Json<Rep>::decode(value, number, failure);
    if (failure.failed()) return;
    if (number > static_cast<Rep>(LastEnumerator<E>::kValue)) {
      return failure.set("unknown value " + std::to_string(number));
    }
    out = static_cast<E>(number);
  }
};

template <>
struct Json<std::string> {
  static json::value encode(const std::string& value) {
    return json::string(value);
  }
  static void decode(const json::value& value, std::string& out,
                     Failure& failure) {
    const json::string* text = value.if_string();
    if (text == nullptr) return failure.set("not a string");
    out.assign(text->data(), text->size());
  }
};

template <class Tag>
struct Json<Name<Tag>> {
  static json::value encode(const Name<Tag>& value) {
    return json::string(value.str());
  }
  static void decode(const json::value& value, Name<Tag>& out,
                     Failure& failure) {
    std::string text;
    Json<std::string>::decode(value, text, failure);
    out = Name<Tag>(std::move(text));
  }
};

template <class Tag, class Rep>
struct Json<Number<Tag, Rep>> {
  static json::value encode(const Number<Tag, Rep>& value) {
    return value.value;
  }
  static void decode(const json::value& value, Number<Tag, Rep>& out,
                     Failure& failure) {
    Json<Rep>::decode(value, out.value, failure);
  }
};

template <>
struct Json<Duration> {
  static json::value encode(Duration value) { return value.count(); }
  static void decode(const json::value& value, Duration& out,
                     Failure& failure) {
    Duration::rep count = 0;
    Json<Duration::rep>::decode(value, count, failure);
    out = Duration(count);
  }
};

template <>
struct Json<WallTime> {
  static json::value encode(WallTime value) {
    return to_json(value.time_since_epoch());
  }
  static void decode(const json::value& value, WallTime& out,
                     Failure& failure) {
    Duration since_epoch{0};
    Json<Duration>::decode(value, since_epoch, failure);
    out = WallTime(since_epoch);
  }
};

template <class T>
struct Json<std::optional<T>> {
  static json::value encode(const std::optional<T>& value) {
    return value ? to_json(*value) : json::value(nullptr);
  }
  static void decode(const json::value& value, std::optional<T>& out,
                     Failure& failure) {
    out.reset();
    if (!value.is_null()) Json<T>::decode(value, out.emplace(), failure);
  }
};

template <class A, class B>
struct Json<std::pair<A, B>> {
  static json::value encode(const std::pair<A, B>& value) {
    return json::array{to_json(value.first), to_json(value.second)};
  }
  static void decode(const json::value& value, std::pair<A, B>& out,
                     Failure& failure) {
    const json::array* pair = value.if_array();
    if (pair == nullptr || pair->size() != 2)
      return failure.set("not an array of length 2");
    from_json((*pair)[0], out.first, failure);
    from_json((*pair)[1], out.second, failure);
  }
};

template <class T>
struct Json<std::vector<T>> {
  static json::value encode(const std::vector<T>& values) {
    json::array array;
    array.reserve(values.size());
    for (const T& value : values) array.push_back(to_json(value));
    return array;
  }
  static void decode(const json::value& value, std::vector<T>& out,
                     Failure& failure) {
    const json::array* array = value.if_array();
    if (array == nullptr) return failure.set("not an array");
    out.clear();
    out.reserve(array->size());
    for (const json::value& item : *array) {
      from_json(item, out.emplace_back(), failure);
      if (failure.failed()) return;
    }
  }
};

template <class T, std::size_t N>
struct Json<std::array<T, N>> {
  static json::value encode(const std::array<T, N>& values) {
    json::array array;
    for (const T& value : values) array.push_back(to_json(value));
    return array;
  }
  static void decode(const json::value& value, std::array<T, N>& out,
                     Failure& failure) {
    const json::array* array = value.if_array();
    if (array == nullptr || array->size() != N) {
      return failure.set("not an array of length " + std::to_string(N));
    }
    for (std::size_t i = 0; i < N; ++i) from_json((*array)[i], out[i], failure);
  }
};

/// A map is encoded as an array of pairs, for any type of key.
template <class K, class V>
struct Json<std::map<K, V>> {
  static json::value encode(const std::map<K, V>& map) {
    json::array array;
    array.reserve(map.size());
    for (const auto& [key, value] : map) {
      array.push_back(json::array{to_json(key), to_json(value)});
    }
    return array;
  }
  static void decode(const json::value& value, std::map<K, V>& out,
                     Failure& failure) {
    std::vector<std::pair<K, V>> pairs;
    Json<std::vector<std::pair<K, V>>>::decode(value, pairs, failure);
    out.clear();
    for (auto& [key, item] : pairs) {
      out.emplace(std::move(key), std::move(item));
    }
  }
};

/// A variant is encoded as the object of its alternative, with the
/// alternative's TypeName as "type".
template <class... Ts>
struct Json<std::variant<Ts...>> {
  using Variant = std::variant<Ts...>;
  static json::value encode(const Variant& variant) {
    return std::visit(
        []<class T>(const T& alternative) {
          json::object object;
          object.emplace("type", TypeName<T>::kValue);
          ObjectWriter writer(object);
          fields(writer, alternative);
          return json::value(std::move(object));
        },
        variant);
  }
  static void decode(const json::value& value, Variant& out, Failure& failure) {
    const json::object* object = value.if_object();
    if (object == nullptr) return failure.set("not an object");
    std::string type;
    ObjectReader reader(*object, failure);
    reader("type", type);
    if (failure.failed()) return;
    if (!(decode_as<Ts>(type, reader, out) || ...)) {
      failure.set("unknown type " + type);
    }
  }

 private:
  template <class T>
  static bool decode_as(const std::string& type, ObjectReader& reader,
                        Variant& out) {
    if (type != TypeName<T>::kValue) return false;
    fields(reader, out.template emplace<T>());
    return true;
  }
};

/// Parses JSON text. Strings may contain invalid UTF-8, because routing keys
/// are kept exactly as callers send them.
json::value parse_text(std::string_view text, Failure& failure);

}  // namespace eelgrasspin::codec

#endif  // EELGRASSPIN_CODEC_JSON_P_H_
