#include "io/byte_budget.h"

#include <utility>

namespace eelgrasspin::io {

ByteShare::ByteShare(std::shared_ptr<ByteBudget> budget)
    : budget_(std::move(budget)) {}

ByteShare::~ByteShare() { set(0); }

void ByteShare::set(std::size_t bytes) {
  if (budget_) budget_->used_ = budget_->used_ - bytes_ + bytes;
  bytes_ = bytes;
}

bool ByteShare::exceeds(std::size_t small) const {
  if (!budget_ || budget_->used() <= budget_->limit()) return false;
  return bytes_ > small || budget_->used() > 2 * budget_->limit();
}

}  // namespace eelgrasspin::io
