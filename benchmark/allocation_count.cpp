#include "allocation_count.hpp"

#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

std::atomic<std::size_t> liveBytes{ 0 };

} // namespace

std::size_t
benchmark::LiveBytes() noexcept
{
  return liveBytes.load();
}

void*
operator new(std::size_t aSize)
{
  void* memory = std::malloc(aSize);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  liveBytes += malloc_usable_size(memory);
  return memory;
}

void
operator delete(void* aMemory) noexcept
{
  if (aMemory != nullptr) {
    liveBytes -= malloc_usable_size(aMemory);
    std::free(aMemory);
  }
}

void
operator delete(void* aMemory, std::size_t /*aSize*/) noexcept
{
  operator delete(aMemory);
}
