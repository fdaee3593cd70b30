#ifndef LACEWINGBEAM_TEST_USERS_PLATFORM_EXPECTED_RESPONSE_HPP
#define LACEWINGBEAM_TEST_USERS_PLATFORM_EXPECTED_RESPONSE_HPP

#include <cstddef>
#include <string>

// What a backend server stand-in answers to a request, as it makes it and as
// callers check it.
namespace testing_support {

// The whole body: the request's id over and over.
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
