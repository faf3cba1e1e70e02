#ifndef TANAGERSPAN_TESTING_CHECK_H
#define TANAGERSPAN_TESTING_CHECK_H

// Joins RapidCheck's properties to CppUnit's verdicts.

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

/// Checks a property; a counterexample fails the test with its seed.
#define CHECK_PROPERTY(name, ...)                                              \
    CPPUNIT_ASSERT_MESSAGE(name, rc::check(name, __VA_ARGS__))

#endif
