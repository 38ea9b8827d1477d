#ifndef EELGRASSPIN_IO_BYTE_BUDGET_H_
#define EELGRASSPIN_IO_BYTE_BUDGET_H_

#include <cstddef>
#include <memory>

namespace eelgrasspin::io {

/// Bounds the bytes that several connections hold together.
class ByteBudget {
 public:
  explicit ByteBudget(std::size_t limit) : limit_(limit) {}
  std::size_t limit() const { return limit_; }
  std::size_t used() const { return used_; }

 private:
  friend class ByteShare;
  std::size_t limit_;
  std::size_t used_ = 0;
};

/// What one connection holds of a budget. Returns it when destroyed.
class ByteShare {
 public:
  /// Without a budget there is no bound.
  explicit ByteShare(std::shared_ptr<ByteBudget> budget);
  ~ByteShare();
  ByteShare(const ByteShare&) = delete;
  ByteShare& operator=(const ByteShare&) = delete;

  void set(std::size_t bytes);
  std::size_t bytes() const { return bytes_; }
  /// The shares of all connections together exceed the limit and this one is
  /// larger than `small`, or they exceed twice the limit.
  bool exceeds(std::size_t small) const;

 private:
  std::shared_ptr<ByteBudget> budget_;
  std::size_t bytes_ = 0;
};

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_BYTE_BUDGET_H_
