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

/// Private to src/codec: maps plain structs to JSON and back. A struct lists
/// its members once, in `fields(archive, value)`; writers and readers are the
/// archives.
namespace eelgrasspin::codec {

namespace json = boost::json;

/// First thing found wrong while reading; empty if nothing is.
struct Failure {
  std::string why;

  bool failed() const { return !why.empty(); }
  void set(std::string text) {
    if (why.empty()) why = std::move(text);
  }
  /// Puts the place in front of what was found there.
  void locate(std::string_view place) { why = std::string(place) + ": " + why; }
};

/// `T` for an archive that reads into it, `const T` for one that writes it.
template <class Archive, class T>
using Like = std::conditional_t<Archive::kReading, T, const T>;

/// Whether a struct is written as an array in the order of its fields, without
/// their names.
template <class T>
inline constexpr bool kAsRow = false;

/// Last constant of an enumeration; numbers above it cannot be read.
template <class E>
struct LastOf;

/// Name of an alternative of a variant, its "type" in JSON.
template <class T>
struct TypeName;

/// JSON form of one type: put() writes it, take() reads it.
template <class T>
struct Json;

template <class T>
json::value to_json(const T& value) {
  return Json<T>::put(value);
}

template <class T>
void from_json(const json::value& value, T& out, Failure& failure) {
  if (!failure.failed()) Json<T>::take(value, out, failure);
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
  void added(std::string_view name, const T& value) {
    (*this)(name, value);
  }

 private:
  json::object& object_;
};

class RowWriter {
 public:
  static constexpr bool kReading = false;

  explicit RowWriter(json::array& row) : row_(row) {}
  template <class T>
  void operator()(std::string_view, const T& value) {
    row_.push_back(to_json(value));
  }
  template <class T>
  void added(std::string_view name, const T& value) {
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
  /// A field that older writers do not have; left as it is when missing.
  template <class T>
  void added(std::string_view name, T& out) {
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
    if (failure_.failed()) failure_.locate(name);
  }

  const json::object& object_;
  Failure& failure_;
};

class RowReader {
 public:
  static constexpr bool kReading = true;

  RowReader(const json::array& row, Failure& failure)
      : row_(row), failure_(failure) {}
  template <class T>
  void operator()(std::string_view name, T& out) {
    read(name, out, true);
  }
  template <class T>
  void added(std::string_view name, T& out) {
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
    if (failure_.failed()) failure_.locate(name);
  }

  const json::array& row_;
  std::size_t next_ = 0;
  Failure& failure_;
};

/// Structs with fields().
template <class T>
struct Json {
  static json::value put(const T& value) {
    if constexpr (kAsRow<T>) {
      json::array row;
      RowWriter writer(row);
      fields(writer, value);
      return row;
    } else {
      json::object object;
      ObjectWriter writer(object);
      fields(writer, value);
      return object;
    }
  }

  static void take(const json::value& value, T& out, Failure& failure) {
    if constexpr (kAsRow<T>) {
      const json::array* row = value.if_array();
      if (row == nullptr) return failure.set("not an array");
      RowReader reader(*row, failure);
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
  static json::value put(bool value) { return value; }
  static void take(const json::value& value, bool& out, Failure& failure) {
    if (const bool* found = value.if_bool()) {
      out = *found;
    } else {
      failure.set("not true or false");
    }
  }
};

template <std::integral T>
struct Json<T> {
  static json::value put(T value) { return value; }
  static void take(const json::value& value, T& out, Failure& failure) {
    boost::system::error_code code;
    if (value.is_int64() || value.is_uint64()) {
      T number = value.to_number<T>(code);
      if (!code) {
        out = number;
        return;
      }
    }
    failure.set("not a whole number in range");
  }
};

/// Rates and weights; Boost.JSON may read back another last digit.
template <>
struct Json<double> {
  static json::value put(double value) { return value; }
  static void take(const json::value& value, double& out, Failure& failure) {
    if (!value.is_number()) return failure.set("not a number");
    out = value.to_number<double>();
  }
};

template <class E>
requires std::is_enum_v<E>
struct Json<E> {
  using Rep = std::uint64_t;
  static json::value put(E value) { return static_cast<Rep>(value); }
  static void take(const json::value& value, E& out, Failure& failure) {
    Rep number = 0;
    Json<Rep>::take(value, number, failure);
    if (failure.failed()) return;
    if (number > static_cast<Rep>(LastOf<E>::kValue)) {
      return failure.set("unknown value " + std::to_string(number));
    }
    out = static_cast<E>(number);
  }
};

template <>
struct Json<std::string> {
  static json::value put(const std::string& value) {
    return json::string(value);
  }
  static void take(const json::value& value, std::string& out,
                   Failure& failure) {
    const json::string* text = value.if_string();
    if (text == nullptr) return failure.set("not a string");
    out.assign(text->data(), text->size());
  }
};

template <class Tag>
struct Json<Name<Tag>> {
  static json::value put(const Name<Tag>& value) {
    return json::string(value.str());
  }
  static void take(const json::value& value, Name<Tag>& out, Failure& failure) {
    std::string text;
    Json<std::string>::take(value, text, failure);
    out = Name<Tag>(std::move(text));
  }
};

template <class Tag, class Rep>
struct Json<Number<Tag, Rep>> {
  static json::value put(const Number<Tag, Rep>& value) { return value.value; }
  static void take(const json::value& value, Number<Tag, Rep>& out,
                   Failure& failure) {
    Json<Rep>::take(value, out.value, failure);
  }
};

template <>
struct Json<Duration> {
  static json::value put(Duration value) { return value.count(); }
  static void take(const json::value& value, Duration& out, Failure& failure) {
    Duration::rep count = 0;
    Json<Duration::rep>::take(value, count, failure);
    out = Duration(count);
  }
};

template <>
struct Json<WallTime> {
  static json::value put(WallTime value) {
    return to_json(value.time_since_epoch());
  }
  static void take(const json::value& value, WallTime& out, Failure& failure) {
    Duration since{0};
    Json<Duration>::take(value, since, failure);
    out = WallTime(since);
  }
};

template <class T>
struct Json<std::optional<T>> {
  static json::value put(const std::optional<T>& value) {
    return value ? to_json(*value) : json::value(nullptr);
  }
  static void take(const json::value& value, std::optional<T>& out,
                   Failure& failure) {
    out.reset();
    if (!value.is_null()) Json<T>::take(value, out.emplace(), failure);
  }
};

template <class A, class B>
struct Json<std::pair<A, B>> {
  static json::value put(const std::pair<A, B>& value) {
    return json::array{to_json(value.first), to_json(value.second)};
  }
  static void take(const json::value& value, std::pair<A, B>& out,
                   Failure& failure) {
    const json::array* pair = value.if_array();
    if (pair == nullptr || pair->size() != 2) return failure.set("not a pair");
    from_json((*pair)[0], out.first, failure);
    from_json((*pair)[1], out.second, failure);
  }
};

template <class T>
struct Json<std::vector<T>> {
  static json::value put(const std::vector<T>& values) {
    json::array array;
    array.reserve(values.size());
    for (const T& value : values) array.push_back(to_json(value));
    return array;
  }
  static void take(const json::value& value, std::vector<T>& out,
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
  static json::value put(const std::array<T, N>& values) {
    json::array array;
    for (const T& value : values) array.push_back(to_json(value));
    return array;
  }
  static void take(const json::value& value, std::array<T, N>& out,
                   Failure& failure) {
    const json::array* array = value.if_array();
    if (array == nullptr || array->size() != N) {
      return failure.set("not an array of " + std::to_string(N));
    }
    for (std::size_t i = 0; i < N; ++i) from_json((*array)[i], out[i], failure);
  }
};

/// A map is an array of pairs, whatever its key.
template <class K, class V>
struct Json<std::map<K, V>> {
  static json::value put(const std::map<K, V>& map) {
    json::array array;
    array.reserve(map.size());
    for (const auto& [key, value] : map) {
      array.push_back(json::array{to_json(key), to_json(value)});
    }
    return array;
  }
  static void take(const json::value& value, std::map<K, V>& out,
                   Failure& failure) {
    std::vector<std::pair<K, V>> pairs;
    Json<std::vector<std::pair<K, V>>>::take(value, pairs, failure);
    out.clear();
    for (auto& [key, item] : pairs) {
      out.emplace(std::move(key), std::move(item));
    }
  }
};

/// A variant is the object of its alternative with that one's name as "type".
template <class... Ts>
struct Json<std::variant<Ts...>> {
  using Variant = std::variant<Ts...>;
  static json::value put(const Variant& variant) {
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
  static void take(const json::value& value, Variant& out, Failure& failure) {
    const json::object* object = value.if_object();
    if (object == nullptr) return failure.set("not an object");
    std::string type;
    ObjectReader reader(*object, failure);
    reader("type", type);
    if (failure.failed()) return;
    if (!(take_as<Ts>(type, reader, out) || ...)) {
      failure.set("unknown type " + type);
    }
  }

 private:
  template <class T>
  static bool take_as(const std::string& type, ObjectReader& reader,
                      Variant& out) {
    if (type != TypeName<T>::kValue) return false;
    fields(reader, out.template emplace<T>());
    return true;
  }
};

/// Reads a text as JSON. Strings may hold any bytes: routing keys are what
/// callers sent.
json::value parse_text(std::string_view text, Failure& failure);

}  // namespace eelgrasspin::codec

#endif  // EELGRASSPIN_CODEC_JSON_P_H_
