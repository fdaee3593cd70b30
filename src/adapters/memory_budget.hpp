#ifndef LACEWINGBEAM_ADAPTERS_MEMORY_BUDGET_HPP
#define LACEWINGBEAM_ADAPTERS_MEMORY_BUDGET_HPP

#include <cstddef>
#include <sigc++/sigc++.h>
#include <utility>

// Limits the bytes that a process holds for its clients.
namespace lacewingbeam {

constexpr std::size_t bytes_of_megabytes(int count) {
    constexpr std::size_t bytes_per_megabyte = 1U << 20U;
    return static_cast<std::size_t>(count) * bytes_per_megabyte;
}

class memory_budget {
public:
    // `memory_bytes` is the memory of the machine that the process may use.
    // Clients get a part of it; the rest is for the process itself and for
    // bytes that the kernel has received.
    explicit memory_budget(std::size_t memory_bytes);

    std::size_t held() const { return held_; }

    // Returns how many bytes may be held in all while a message of this size
    // grows. Large messages leave a reserve to small ones.
    std::size_t limit_for(std::size_t message_bytes) const;

    // Returns whether a message of this size may grow. If too much is held, the
    // listeners first give up requests and responses of at least that size.
    bool make_room(std::size_t message_bytes);

    // Emitted when a message of this size needs room.
    sigc::signal<void(std::size_t message_bytes)> shortage;

private:
    friend class memory_charge;

    std::size_t limit_;
    std::size_t held_ = 0;
};

// Bytes counted against a budget for as long as the object exists.
class memory_charge {
public:
    memory_charge() = default;
    explicit memory_charge(memory_budget& budget) : budget_(&budget) {}
    memory_charge(memory_charge&& other) noexcept
        : budget_(std::exchange(other.budget_, nullptr)),
          bytes_(std::exchange(other.bytes_, 0)) {}
    memory_charge& operator=(memory_charge&& other) noexcept {
        std::swap(budget_, other.budget_);
        std::swap(bytes_, other.bytes_);
        return *this;
    }
    ~memory_charge() { set(0); }

    std::size_t bytes() const { return bytes_; }

    void set(std::size_t bytes) {
        if (budget_ != nullptr) {
            budget_->held_ = budget_->held_ - bytes_ + bytes;
            bytes_ = bytes;
        }
    }

private:
    memory_budget* budget_ = nullptr;
    std::size_t bytes_ = 0;
};

} // namespace lacewingbeam

#endif
