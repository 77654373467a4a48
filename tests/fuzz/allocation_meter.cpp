#include "fuzz/allocation_meter.h"

#include <algorithm>
#include <atomic>

// From sanitizer/allocator_interface.h, which gcc doesn't have.
extern "C" int
__sanitizer_install_malloc_and_free_hooks( // NOLINT(bugprone-reserved-identifier,readability-identifier-naming)
    void (*malloc_hook)(const volatile void*, std::size_t), void (*free_hook)(const volatile void*));

namespace knapweed::fuzz {

namespace {

std::atomic<bool> counting = false;
std::atomic<std::size_t> counted = 0;
std::atomic<std::size_t> largest = 0;

void count_allocation(const volatile void* /*block*/, std::size_t size)
{
    if (!counting)
        return;
    counted += size;
    largest = std::max<std::size_t>(largest, size);
}

void ignore_release(const volatile void* /*block*/) {}

} // namespace

allocation_meter::allocation_meter()
{
    static const int installed = __sanitizer_install_malloc_and_free_hooks(count_allocation, ignore_release);
    (void)installed;
    counted = 0;
    largest = 0;
    counting = true;
}

allocation_meter::~allocation_meter()
{
    counting = false;
}

std::size_t allocation_meter::allocated_bytes()
{
    return counted;
}

std::size_t allocation_meter::largest_block_bytes()
{
    return largest;
}

} // namespace knapweed::fuzz
