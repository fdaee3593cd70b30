#include "memory_budget.hpp"

namespace lacewingbeam {

namespace {

// The part of the memory that clients may use. The rest holds the process
// itself, bytes that the kernel has received, and unused parts of buffers.
constexpr double client_fraction = 0.6;

// Parts of the clients' memory that messages of a size may fill.
constexpr std::size_t large_message = 256U << 10U;
constexpr std::size_t medium_message = 32U << 10U;
constexpr double large_fraction = 0.75;
constexpr double medium_fraction = 0.9;

std::size_t part_of(std::size_t bytes, double fraction) {
    return static_cast<std::size_t>(static_cast<double>(bytes) * fraction);
}

} // namespace

memory_budget::memory_budget(std::size_t memory_bytes)
    : limit_(part_of(memory_bytes, client_fraction)) {}

std::size_t memory_budget::limit_for(std::size_t message_bytes) const {
    if (message_bytes >= large_message) {
        return part_of(limit_, large_fraction);
    }
    return message_bytes >= medium_message ? part_of(limit_, medium_fraction)
                                           : limit_;
}

bool memory_budget::make_room(std::size_t message_bytes) {
    if (held_ > limit_for(message_bytes)) {
        shortage.emit(message_bytes);
    }
    return held_ <= limit_for(message_bytes);
}

} // namespace lacewingbeam
