// Package ticketer asks the homes of units for tickets and gives them back.
package ticketer
