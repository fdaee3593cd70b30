#ifndef LACEWINGBEAM_TEST_USERS_PLATFORM_EXPECTED_RESPONSE_HPP
#define LACEWINGBEAM_TEST_USERS_PLATFORM_EXPECTED_RESPONSE_HPP

#include <cstddef>
#include <string>

// The response that a backend server stand-in sends and that callers check.
namespace testing_support {

// Returns the request ID, repeated up to the given size.
inline std::string expected_body(const std::string& id, std::size_t bytes) {
    std::string body;
    while (body.size() < bytes) {
        body += id + ":";
    }
    body.resize(bytes);
    return body;
}

inline std::string expected_stamp(const std::string& id, std::size_t bytes) {
    return id + "." + std::to_string(bytes);
}

} // namespace testing_support

#endif
