#ifndef EELGRASSPIN_VM_LIST_H_
#define EELGRASSPIN_VM_LIST_H_

#include <functional>
#include <string>
#include <vector>

#include "eelgrasspin/ids.h"
#include "eelgrasspin/result.h"

namespace eelgrasspin {

enum class VmState : std::uint8_t { kLive, kLeaving, kGone };

/// A VM of the platform, under the name of the daemon or backend server that
/// runs on it. The list lags: a listed VM may be gone already, but kGone means
/// that the VM has ended for good.
struct VmEntry {
  std::string name;
  VmState state = VmState::kLive;
};

class VmList {
 public:
  using Callback = std::function<void(Result<std::vector<VmEntry>>)>;

  virtual ~VmList() = default;
  virtual void list(Callback done) = 0;
};

}  // namespace eelgrasspin

#endif  // EELGRASSPIN_VM_LIST_H_
