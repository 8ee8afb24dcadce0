#include "gypsumtrack/gateway/rcu_cell.h"

#include <urcu/urcu-memb.h>

namespace gypsumtrack::gateway::detail {
namespace {

/// Registers the thread for its lifetime.
struct ThreadRegistration {
  ThreadRegistration() { urcu_memb_register_thread(); }
  ~ThreadRegistration() { urcu_memb_unregister_thread(); }
};

/// Registers the calling thread unless it is registered already.
void RegisterThread() {
  thread_local ThreadRegistration registration;
  (void)registration;
}

}  // namespace

RcuReadGuard::RcuReadGuard() {
  RegisterThread();
  urcu_memb_read_lock();
}

RcuReadGuard::~RcuReadGuard() { urcu_memb_read_unlock(); }

void* RcuExchange(void** slot, void* value) {
  return __atomic_exchange_n(slot, value, __ATOMIC_ACQ_REL);
}

void* RcuDereference(void* const* slot) {
  return __atomic_load_n(slot, __ATOMIC_ACQUIRE);
}

void RcuSynchronize() { urcu_memb_synchronize_rcu(); }

}  // namespace gypsumtrack::gateway::detail
