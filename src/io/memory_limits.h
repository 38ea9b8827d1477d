#ifndef EELGRASSPIN_IO_MEMORY_LIMITS_H_
#define EELGRASSPIN_IO_MEMORY_LIMITS_H_

#include <cstddef>

namespace eelgrasspin::io {

/// Bytes that a daemon holds at most of what others send it. While a body of
/// unknown length grows it takes up to twice its size, and the JSON values of
/// the store's answers more; the rest of the memory is for these, and for what
/// the daemon keeps.
struct MemoryLimits {
  /// Callers' connections, and their requests until they are answered. On a
  /// machine of 260 MB a body of 64 MB fits beside 9 MB of others.
  std::size_t requests;
  /// The same, for small requests when large ones have used their limit.
  std::size_t small_requests;
  std::size_t held_answers;   ///< Answers that callers have not read yet.
  std::size_t answers;        ///< Backend servers' answers being read.
  std::size_t store_answers;  ///< The store's answers being read.
  std::size_t order_answers;  ///< Answers to orders being read.
};

constexpr MemoryLimits memory_limits(std::size_t process_limit) {
  return {process_limit / 32 * 9, process_limit / 32 * 11, process_limit / 8,
          process_limit / 16,     process_limit / 32,      process_limit / 128};
}

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_MEMORY_LIMITS_H_
