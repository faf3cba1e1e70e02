#ifndef TANAGERSPAN_TESTING_CHECK_H
#define TANAGERSPAN_TESTING_CHECK_H

// Runs RapidCheck properties inside CppUnit tests.

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

/// Checks a property. A counterexample fails the CppUnit test; RapidCheck
/// prints the counterexample and its seed.
#define CHECK_PROPERTY(name, ...)                                              \
    CPPUNIT_ASSERT_MESSAGE(name, rc::check(name, __VA_ARGS__))

#endif
